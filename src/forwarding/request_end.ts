/**
 * Ends a request: sends the rejection if there is one, logs the end and updates
 * the metrics.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { QueueInputs } from "../diagnostics/mod.ts";
import type { CallerLost } from "../requests/caller.ts";
import type { Route } from "../routing/mod.ts";
import { type Call, type ForwardHost, takeLoggedBody } from "./call.ts";
import { tryGetServiceTokens } from "./prompt_tokens.ts";
import { getOutcome, type Rejected, sendRejection } from "./rejections.ts";
import type { CallHeaders } from "./types.ts";

/** The state of a request; fields are filled in as they become known. */
export interface RequestState {
  headers: CallHeaders | undefined;
  route: Route | undefined;
  team: string | undefined;
  call: Call | undefined;
  /** Held until the request ends, since it may be sent again. */
  body: Disposable | undefined;
  /** Monotonic milliseconds; the earliest possible time of arrival. */
  readonly arrivedMs: number;
  /** Name of the relay by which it came; `undefined` if it came from a caller. */
  readonly relay: string | undefined;
  /** Whether this host was overloaded when it read the request. */
  readonly isHostOverloaded: boolean;
}

/**
 * Ends a request with a rejection. If part of a response has been sent, the
 * connection is closed instead.
 */
export function endRejected(
  host: ForwardHost,
  state: RequestState,
  res: ServerResponse,
  rejected: Rejected,
): void {
  const { status, reason, retryAfterMs, queue } = rejected;
  const isPartlySent = res.headersSent;
  sendRejection(res, rejected, {
    codec: host.codec,
    id: state.headers?.requestId,
  });
  if (isPartlySent) breakOff(res);
  logEnd(host, state, {
    outcome: isPartlySent ? "may-have-run" : getOutcome(status),
    status: isPartlySent ? 0 : status,
    isCut: isPartlySent,
    reason,
    retryAfterMs,
    queue,
  });
}

/**
 * Closes the connection, which alone tells the caller that the response is
 * incomplete. If the response has neither chunks nor a length, as for callers of
 * HTTP/1.0, an orderly close would end it as complete.
 */
function breakOff(res: ServerResponse): void {
  const isFramed = res.chunkedEncoding || res.hasHeader("content-length");
  if (!isFramed) res.socket?.resetAndDestroy();
  res.destroy();
}

/** Ends a request whose caller has disconnected. No response is sent. */
export function endCallerLost(
  host: ForwardHost,
  state: RequestState,
  err: CallerLost,
): void {
  logEnd(host, state, {
    outcome: "caller-left",
    status: 0,
    reason: err.reason,
    retryAfterMs: undefined,
  });
}

/** Ends a request whose response has been relayed completely. */
export function endAnswered(
  host: ForwardHost,
  state: RequestState,
  res: ServerResponse,
): void {
  host.retryBudget.recordSuccess("", state.call?.service ?? "");
  const serviceTokens = tryGetServiceTokens(state.headers);
  if (serviceTokens !== undefined && isSuccess(res.statusCode)) {
    host.load.recordAnswered(state.team ?? "", serviceTokens);
  }
  logEnd(host, state, {
    outcome: "answered",
    status: res.statusCode,
    reason: "The upstream's response was relayed",
    retryAfterMs: undefined,
  });
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

interface EndDetails {
  readonly outcome: "answered" | "not-run" | "may-have-run" | "caller-left";
  readonly status: number;
  /** Set if a response that had begun was closed. */
  readonly isCut?: boolean;
  readonly reason: string;
  readonly retryAfterMs: number | undefined;
  readonly queue?: QueueInputs | undefined;
}

function logEnd(host: ForwardHost, state: RequestState, end: EndDetails): void {
  const { call, headers, route, team } = state;
  const nowMs = host.clock.monotonicMs();
  const totalMs = Math.round(nowMs - state.arrivedMs);
  const attempts = call?.progress.attempts ?? 0;
  const attempt = call?.progress.attempt;
  host.log({
    event: "request-ended",
    request: headers?.requestId ?? "",
    relay: state.relay,
    team,
    route: route?.name,
    serviceTokens: tryGetServiceTokens(headers),
    outcome: end.outcome,
    status: end.status,
    isCut: end.isCut ?? false,
    reason: end.reason,
    upstream: attempt?.upstream.id,
    attempts,
    silentPhase: call?.progress.silentPhase,
    silentMs: end.outcome === "answered"
      ? undefined
      : attempt?.trace.getSilentMs(),
    sinceAttemptMs: attempts === 0 || attempt === undefined
      ? undefined
      : Math.round(nowMs - attempt.startedMs),
    totalMs,
    firstEventMs: roundMs(call?.progress.firstEventMs),
    chunks: call?.progress.chunks ?? 0,
    eventVersions: tryGetEventVersions(call),
    resumes: headers?.resumedRequestId,
    longestPauseMs: roundMs(call?.progress.longestPauseMs),
    retryAfterMs: end.retryAfterMs,
    queue: end.queue,
    body: takeLoggedBody(host, attempt),
    inputs: host.getInputs(),
  });
  host.onRequestEnded({
    route: route?.name,
    outcome: end.outcome,
    status: end.status,
    totalMs,
    firstEventMs: call?.progress.firstEventMs,
    refusedAfterMs: end.queue?.waitedMs,
  });
}

function tryGetEventVersions(
  call: Call | undefined,
): readonly (string | undefined)[] | undefined {
  const versions = call?.progress.eventVersions;
  return versions === undefined || versions.size === 0
    ? undefined
    : [...versions];
}

function roundMs(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}
