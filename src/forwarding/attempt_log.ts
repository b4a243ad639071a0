/**
 * Writes the log lines of the attempts of a request.
 *
 * @module
 */

import type { Decision, RetryUse } from "../diagnostics/mod.ts";
import {
  type Attempt,
  type Call,
  type ForwardHost,
  getRemainingMs,
  takeLoggedBody,
} from "./call.ts";
import { getEligible } from "./eligible_upstreams.ts";
import type { SilenceStep } from "./next_step.ts";
import type { PickedUpstream } from "./pick_upstream.ts";
import { tryGetServiceTokens } from "./prompt_tokens.ts";
import type { AttemptFailed } from "./types.ts";

/** What follows a failed attempt, for the log. */
export interface LoggedStep {
  readonly kind: "another-upstream" | "resume" | "keep-other" | "give-up";
  /** Reason why there is no further attempt. */
  readonly because?: string;
}

/** The step after a failure, with what it was chosen by. */
export interface ChosenStep extends Choice {
  readonly step: LoggedStep;
  readonly retry: RetryUse;
}

/** What a step is chosen by. */
export interface Choice {
  readonly candidates: number;
  readonly remainingMs: number;
}

/** Returns what a step would be chosen by now. */
export function getChoice(host: ForwardHost, call: Call): Choice {
  return {
    candidates: getEligible(host, call).length,
    remainingMs: getRemainingMs(host, call),
  };
}

/** Logs that an attempt is about to start. */
export function logAttempt(
  host: ForwardHost,
  call: Call,
  picked: PickedUpstream,
): void {
  const nowMs = host.clock.monotonicMs();
  const { queuedAtMs } = call.progress;
  host.log({
    event: "attempt-started",
    request: call.headers.requestId,
    team: call.team,
    upstream: picked.upstream.id,
    softwareVersion: picked.upstream.softwareVersion,
    streamVersion: tryGetFirst(call.progress.eventVersions),
    resumes: call.headers.resumedRequestId,
    attempt: call.progress.attempts + 1,
    waitedMs: Math.round(nowMs - call.arrivedMs),
    queuedMs: queuedAtMs === undefined
      ? undefined
      : Math.round(nowMs - queuedAtMs),
    grantMs: picked.grantMs === undefined
      ? undefined
      : Math.round(picked.grantMs),
    turnMs: Math.round(host.getTurnOverrunMs()),
    unreadMs: Math.round(host.getUnreadMs()),
    inFlight: host.health.getInFlight(picked.upstream.id),
    readingTokens: picked.readingTokens,
    queuedTokens: picked.queuedTokens,
    room: picked.room,
    coverage: picked.readingTokens === undefined
      ? undefined
      : host.load.getCoverage(),
    serviceTokens: tryGetServiceTokens(call.headers),
    fetchFrom: picked.fetch?.source?.id,
    fetchTokens: picked.fetch?.tokens,
    fetchReason: picked.fetch?.reason,
    prefix: picked.prefix,
    inputs: host.getInputs(),
  });
}

function tryGetFirst<T>(values: Iterable<T>): T | undefined {
  const [first] = values;
  return first;
}

/** What of a request may have crashed the upstream, for the log. */
type LoggedSuspects = Pick<
  Extract<Decision, { readonly event: "attempt-failed" }>,
  "fingerprint" | "parts" | "sinceFirstEventMs"
>;

const NO_SUSPECTS: LoggedSuspects = {
  fingerprint: undefined,
  parts: undefined,
  sinceFirstEventMs: undefined,
};

function getSuspects(
  host: ForwardHost,
  { fingerprint, parts }: Call,
  { firstEventsMs }: Attempt,
): LoggedSuspects {
  const sinceFirstEventMs = firstEventsMs === undefined
    ? undefined
    : Math.round(host.clock.monotonicMs() - firstEventsMs);
  return { fingerprint, parts, sinceFirstEventMs };
}

/** Logs that an attempt has failed or was given up. */
export function logFailure(
  host: ForwardHost,
  call: Call,
  attempt: Attempt,
  { err, chosen }: { readonly err: AttemptFailed; readonly chosen: ChosenStep },
): void {
  const { progress } = call;
  const { step, candidates, remainingMs, retry } = chosen;
  progress.silentPhase = err.silence?.phase ?? progress.silentPhase;
  host.log({
    event: "attempt-failed",
    request: call.headers.requestId,
    upstream: attempt.upstream.id,
    attempt: attempt.number,
    kind: err.kind,
    reason: err.reason,
    syscall: err.syscall,
    next: step.kind,
    because: step.because,
    candidates,
    retry,
    remainingMs: Math.round(remainingMs),
    isBegun: call.res.headersSent,
    contact: err.contact,
    silence: err.silence && attempt.trace.toLog(err.silence),
    ...(err.kind === "cut-off"
      ? getSuspects(host, call, attempt)
      : NO_SUSPECTS),
    body: takeLoggedBody(host, attempt),
  });
}

/** Logs what is done about the silence of an attempt's upstream. */
export function logSilence(
  host: ForwardHost,
  call: Call,
  attempt: Attempt,
  step: SilenceStep,
): void {
  const silence = attempt.silence.tryGetSilence();
  if (silence === undefined) return;
  const { candidates, remainingMs } = getChoice(host, call);
  call.progress.silentPhase = silence.phase;
  host.log({
    event: "attempt-silent",
    request: call.headers.requestId,
    upstream: attempt.upstream.id,
    attempt: attempt.number,
    silence: attempt.trace.toLog(silence),
    next: step.kind,
    because: step.kind === "wait" ? step.because : undefined,
    candidates,
    remainingMs: Math.round(remainingMs),
    isBegun: call.res.headersSent,
  });
}
