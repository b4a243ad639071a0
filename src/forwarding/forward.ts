/**
 * Forwards one request: picks an upstream, sends the request, relays the
 * response and, after a failure, decides whether to try another upstream.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import * as Effect from "effect/Effect";
import type { CallerLost } from "../requests/caller.ts";
import type { RetryUse } from "../diagnostics/mod.ts";
import { attempt } from "./attempt.ts";
import { createAttemptTrace } from "./attempt_trace.ts";
import {
  checkNotBlocked,
  createBlockedRejection,
  isContentBlocked,
} from "./blocked_content.ts";
import {
  type Call,
  type ForwardHost,
  getRemainingMs,
  takeLoggedBody,
} from "./call.ts";
import { getEndToEndHeaders } from "./headers.ts";
import { decideNextStep, type NextStep } from "./next_step.ts";
import { relayStream } from "./relay_stream.ts";
import { createUnavailable, getEligible } from "./eligible_upstreams.ts";
import { type PickedUpstream, pickUpstream } from "./pick_upstream.ts";
import { readResponseBody } from "./response_body.ts";
import { createNotRunRejection, Rejected } from "./rejections.ts";
import { FAILED_RETRY_MS } from "./retry_after.ts";
import { AttemptFailed } from "./types.ts";
import type { UpstreamResponse } from "./upstream_call.ts";

/**
 * Largest response that is buffered before it is sent on, in bytes. Streams are
 * not buffered.
 */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/**
 * An idempotent call that has not been answered after this share of its
 * remaining time is sent to another upstream: late enough that few responses
 * arrive after it, early enough for a second attempt to finish.
 */
const RESEND_AFTER_SHARE = 0.5;

/**
 * If an upstream sends no response head for a resumable stream within this
 * time, in ms, the request is sent to another upstream. Callers abandon a
 * silent stream after two seconds or more.
 */
const STREAM_HEAD_TIMEOUT_MS = 1_600;

/**
 * Forwards the request until it has been answered or no further attempt is
 * allowed.
 */
export function forward(
  host: ForwardHost,
  call: Call,
): Effect.Effect<void, Rejected | CallerLost> {
  let connects = 0;

  const tryUpstream: Effect.Effect<void, Rejected | CallerLost> = Effect
    .suspend(
      () =>
        pickUpstream(host, call).pipe(
          Effect.mapError((err) => correctRejection(call, err)),
          Effect.tap(() => checkNotBlocked(host, call)),
          Effect.flatMap((picked) => {
            connects++;
            return attemptAt(host, call, picked);
          }),
          Effect.catchTag("AttemptFailed", (err) => handleFailure(err)),
        ),
    );

  function handleFailure(
    err: AttemptFailed,
  ): Effect.Effect<void, Rejected | CallerLost> {
    const { route, progress, service } = call;
    const candidates = getEligible(host, call).length;
    const remainingMs = getRemainingMs(host, call);
    let retry: RetryUse = "not-asked";
    const step = decideNextStep({
      failure: err.kind,
      kind: route.kind,
      isResumable: route.isResumable,
      maxAttempts: route.maxAttempts,
      attempts: progress.attempts,
      possibleRuns: progress.possibleRuns,
      connects,
      hasSentEvents: call.res.headersSent,
      hasEventId: progress.lastEventId !== undefined,
      remainingMs,
      isBlocked: isContentBlocked(host, call),
      hasCandidate: candidates > 0,
      tryTakeRetry() {
        const isTaken = host.retryBudget.tryTake("", service);
        retry = isTaken ? "taken" : "refused";
        return isTaken;
      },
    });
    logFailure(host, call, err, { step, candidates, remainingMs, retry });
    if (step.kind !== "give-up") return tryUpstream;
    return Effect.fail(createFinalRejection(host, call, err));
  }

  return tryUpstream.pipe(
    Effect.ensuring(Effect.sync(() => call.progress.endPrefill())),
  );
}

/**
 * Makes one attempt at the upstream and records its result in the upstream's
 * health, back-off and crash state.
 */
function attemptAt(
  host: ForwardHost,
  call: Call,
  picked: PickedUpstream,
): Effect.Effect<void, AttemptFailed | CallerLost> {
  const { upstream } = picked;
  const { health } = host;
  call.progress.upstream = upstream;
  call.progress.attemptStartedMs = host.clock.monotonicMs();
  call.progress.attemptTrace = createAttemptTrace(host.clock);
  call.progress.triedUpstreams.add(upstream.id);
  call.progress.isUpstreamCold = host.warmUps.isCold(upstream);
  logAttempt(host, call, picked);
  health.beginRequest(upstream.id);
  host.load.beginRequest(upstream.id);
  const headTimeoutMs = getHeadTimeoutMs(host, call);
  return attempt(host, call, { upstream, headTimeoutMs }).pipe(
    Effect.tap(() =>
      Effect.sync(() => {
        health.recordActivity(upstream.id);
        host.backoffs.recordSuccess(upstream);
      })
    ),
    Effect.flatMap((response) => relay(host, call, picked, response)),
    Effect.tap(() =>
      Effect.sync(() => {
        health.recordSuccess(upstream.id);
        if (isSuccess(call.progress.status)) {
          host.crashes.recordSuccess(call.fingerprint);
        }
      })
    ),
    Effect.tapError((err) => Effect.sync(() => recordFailure(host, call, err))),
    Effect.ensuring(Effect.sync(() => {
      call.progress.endPrefill();
      health.endRequest(upstream.id);
      host.load.endRequest(upstream.id);
    })),
  );
}

function recordFailure(
  host: ForwardHost,
  call: Call,
  err: AttemptFailed | CallerLost,
): void {
  if (err._tag === "CallerLost" || err.kind === "unwanted") return;
  const upstream = call.progress.upstream!;
  if (err.kind === "not-sent") {
    host.health.recordFailure(upstream.id, "unreachable");
    host.crashes.recordUnreachable(upstream);
    return;
  }
  host.health.recordFailure(upstream.id, "failed");
  if (err.kind === "cut-off") {
    host.crashes.recordCutOff(upstream, call.fingerprint);
  }
}

function relay(
  host: ForwardHost,
  call: Call,
  picked: PickedUpstream,
  response: UpstreamResponse,
): Effect.Effect<void, AttemptFailed | CallerLost> {
  const status = response.res.statusCode ?? 0;
  if (call.route.kind === "stream" && isSuccess(status)) {
    return relayStream(host, call, picked, response);
  }
  return relayBuffered(host, call, response);
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

function relayBuffered(
  host: ForwardHost,
  call: Call,
  response: UpstreamResponse,
): Effect.Effect<void, AttemptFailed> {
  const limits = {
    maxBytes: MAX_RESPONSE_BYTES,
    timeoutMs: Math.max(1, getRemainingMs(host, call)),
  };
  return readResponseBody(response, limits).pipe(
    Effect.flatMap((chunks) => {
      const { res: upstreamRes } = response;
      const status = upstreamRes.statusCode ?? 0;
      const isFailure = status >= 500;
      if (isFailure && canTryAnother(host, call)) {
        const reason = `Status ${status}`;
        return Effect.fail(new AttemptFailed({ kind: "broken", reason }));
      }
      // The status line of a stream that has started has already been sent.
      if (call.res.headersSent) {
        const reason = `Status ${status} when resuming a stream`;
        return Effect.fail(new AttemptFailed({ kind: "broken", reason }));
      }
      call.progress.status = status;
      sendBuffered(call.res, response, chunks);
      return Effect.void;
    }),
  );
}

/**
 * Whether a 5xx response leads to an attempt at another upstream. Otherwise the
 * response is passed on to the caller.
 */
function canTryAnother(host: ForwardHost, call: Call): boolean {
  const { route, progress } = call;
  const isRepeatable = route.kind === "idempotent" || route.isResumable;
  const hasOther = getEligible(host, call).length > 0;
  return isRepeatable && hasOther && progress.possibleRuns < route.maxAttempts;
}

function sendBuffered(
  res: ServerResponse,
  response: UpstreamResponse,
  chunks: readonly Uint8Array[],
): void {
  const { rawHeaders, statusCode = 502 } = response.res;
  const length = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
  const headers = getEndToEndHeaders(rawHeaders);
  if (res.getHeader("connection") !== undefined) {
    headers.push("Connection", "close");
  }
  headers.push("Content-Length", String(length));
  res.writeHead(statusCode, headers);
  response.trace.onRelayed(length);
  for (const chunk of chunks) res.write(chunk);
  res.end();
}

function getHeadTimeoutMs(host: ForwardHost, call: Call): number {
  const remainingMs = Math.max(1, getRemainingMs(host, call));
  const { route, progress } = call;
  const mayRepeat = progress.possibleRuns + 1 < route.maxAttempts;
  if (!mayRepeat) return remainingMs;
  if (route.kind === "idempotent") return remainingMs * RESEND_AFTER_SHARE;
  if (route.isResumable) return Math.min(remainingMs, STREAM_HEAD_TIMEOUT_MS);
  return remainingMs;
}

/**
 * Replaces a rejection that promises "not run" by a 502 if an earlier attempt
 * may have run the request.
 */
function correctRejection(call: Call, rejected: Rejected): Rejected {
  if (call.progress.possibleRuns === 0) return rejected;
  return new Rejected({ status: 502, reason: rejected.reason });
}

/** Creates the rejection for a request that is not attempted again. */
function createFinalRejection(
  host: ForwardHost,
  call: Call,
  err: AttemptFailed,
): Rejected {
  if (isContentBlocked(host, call)) return createBlockedRejection(call);
  if (call.progress.possibleRuns === 0) {
    const hasCandidate = getEligible(host, call).length > 0;
    if (!hasCandidate) return createUnavailable(host, call);
    return createNotRunRejection(err.reason, FAILED_RETRY_MS);
  }
  const status = err.kind === "silent" ? 504 : 502;
  return new Rejected({ status, reason: err.reason });
}

function logAttempt(
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
    attempt: call.progress.attempts + 1,
    waitedMs: Math.round(nowMs - call.arrivedMs),
    queuedMs: queuedAtMs === undefined
      ? undefined
      : Math.round(nowMs - queuedAtMs),
    turnMs: Math.round(host.getTurnOverrunMs()),
    unreadMs: Math.round(host.getUnreadMs()),
    inFlight: host.health.getInFlight(picked.upstream.id),
    readingTokens: picked.readingTokens,
    inputs: host.getInputs(),
  });
}

/** The step after a failure, with what it was chosen by. */
interface ChosenStep {
  readonly step: NextStep;
  readonly candidates: number;
  readonly remainingMs: number;
  readonly retry: RetryUse;
}

function logFailure(
  host: ForwardHost,
  call: Call,
  err: AttemptFailed,
  { step, candidates, remainingMs, retry }: ChosenStep,
): void {
  const { progress } = call;
  progress.silentPhase = err.silence?.phase ?? progress.silentPhase;
  host.log({
    event: "attempt-failed",
    request: call.headers.requestId,
    upstream: progress.upstream!.id,
    attempt: progress.attempts,
    kind: err.kind,
    reason: err.reason,
    next: step.kind,
    because: step.kind === "give-up" ? step.because : undefined,
    candidates,
    retry,
    remainingMs: Math.round(remainingMs),
    isBegun: call.res.headersSent,
    contact: err.contact,
    silence: err.silence && progress.attemptTrace?.toLog(err.silence),
    fingerprint: err.kind === "cut-off" ? call.fingerprint : undefined,
    body: takeLoggedBody(host, call),
  });
}
