/**
 * The end of a request: what the caller is told, the line that tells it, and the
 * metrics.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { QueueInputs } from "../diagnostics/mod.ts";
import type { CallerLost } from "../requests/caller.ts";
import type { Route } from "../routing/mod.ts";
import type { Call, ForwardHost } from "./call.ts";
import { getOutcome, type Rejected, sendRejection } from "./rejections.ts";
import type { CallHeaders } from "./types.ts";

/** What is known of a request, however far it gets. */
export interface RequestState {
  headers: CallHeaders | undefined;
  route: Route | undefined;
  team: string | undefined;
  call: Call | undefined;
  /** Monotonic milliseconds; at the latest. */
  readonly arrivedMs: number;
  /** This host was too busy for it when it was read. */
  readonly isHostOverloaded: boolean;
}

/** Sends the answer of the system's own, as far as the caller can still get it. */
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
  // Part of an answer is out: only a closed connection tells that it is not
  // whole.
  if (isPartlySent) res.destroy();
  logEnd(host, state, {
    outcome: isPartlySent ? "may-have-run" : getOutcome(status),
    status: isPartlySent ? 0 : status,
    reason,
    retryAfterMs,
    queue,
  });
}

/** The caller has left; nobody is told anything. */
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

/** The upstream's answer has been passed on. */
export function endAnswered(
  host: ForwardHost,
  state: RequestState,
  res: ServerResponse,
): void {
  host.retryBudget.recordSuccess("", state.call?.service ?? "");
  logEnd(host, state, {
    outcome: "answered",
    status: res.statusCode,
    reason: "Passed on from the upstream",
    retryAfterMs: undefined,
  });
}

interface EndDetails {
  readonly outcome: "answered" | "not-run" | "may-have-run" | "caller-left";
  readonly status: number;
  readonly reason: string;
  readonly retryAfterMs: number | undefined;
  readonly queue?: QueueInputs | undefined;
}

function logEnd(host: ForwardHost, state: RequestState, end: EndDetails): void {
  const { call, headers, route, team } = state;
  const nowMs = host.clock.monotonicMs();
  const totalMs = Math.round(nowMs - state.arrivedMs);
  const attempts = call?.progress.attempts ?? 0;
  host.log({
    event: "request-ended",
    request: headers?.requestId ?? "",
    team,
    route: route?.name,
    outcome: end.outcome,
    status: end.status,
    reason: end.reason,
    upstream: call?.progress.upstream?.id,
    attempts,
    sinceAttemptMs: attempts === 0
      ? undefined
      : Math.round(nowMs - call!.progress.attemptStartedMs),
    totalMs,
    firstEventMs: roundMs(call?.progress.firstEventMs),
    chunks: call?.progress.chunks ?? 0,
    longestPauseMs: roundMs(call?.progress.longestPauseMs),
    retryAfterMs: end.retryAfterMs,
    queue: end.queue,
    inputs: host.getInputs(),
  });
  host.onRequestEnded({
    route: route?.name,
    outcome: end.outcome,
    status: end.status,
    totalMs,
    firstEventMs: call?.progress.firstEventMs,
  });
}

function roundMs(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}
