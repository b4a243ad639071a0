/**
 * Runs a request that may be repeated: it is retried on another upstream when
 * an upstream fails before anything was delivered.
 *
 * Load: upstreams die or refuse connections while requests are in flight.
 * Failure prevented: callers lose responses that another upstream could give,
 * or retries multiply until no request succeeds.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import * as Effect from "effect/Effect";
import type { SlotHandle } from "../slots/mod.ts";
import type { AdmittedRequest } from "../types.ts";
import { UpstreamError, wasNotSent } from "../upstreams/mod.ts";
import type { CallerLost } from "./caller.ts";
import {
  createFailureReply,
  recordEnd,
  sendResponse,
  sendStreamEnd,
} from "./end.ts";
import { type ParsedCall, reject, type RequestRejected } from "./parse.ts";
import { looksLikeCrash, runOnEngine } from "./run_on_engine.ts";
import { runOnPlainService } from "./run_on_plain_service.ts";
import {
  checkQuarantine,
  runAtUpstream,
  withTrialIfSuspect,
} from "./run_suspect.ts";
import {
  createProgress,
  getRemainingMs,
  type Progress,
  type ServeHost,
} from "./types.ts";
import { withSlot } from "./use_slot.ts";

/**
 * Maximum number of attempts of an idempotent request that reach an upstream.
 */
export const MAX_ATTEMPTS = 3;

/**
 * Maximum number of refused connections of one request. They cost next to
 * nothing, and each marks its upstream as down, so there may be as many as
 * there are upstreams.
 */
const MAX_REFUSED_CONNECTIONS = 10;

interface RequestContext {
  readonly host: ServeHost;
  readonly admitted: AdmittedRequest;
  readonly call: ParsedCall;
  readonly res: ServerResponse;
  readonly progress: Progress;
}

/** Runs the request until it succeeds or must not be retried. */
export function runIdempotent(
  host: ServeHost,
  admitted: AdmittedRequest,
  call: ParsedCall,
  res: ServerResponse,
): Effect.Effect<void, RequestRejected | CallerLost> {
  const progress = createProgress();
  const context = { host, admitted, call, res, progress };
  return Effect.gen(function* () {
    const tries = { attempts: 0, refusals: 0 };
    while (true) {
      // Crashes are recorded, and suspicion is cleared, before the trial of a
      // suspect ends: the next attempt with the same content, at this or
      // another host, has to know the result.
      const attempt = runAttempt(context, tries.attempts).pipe(
        Effect.tap(() => clearSuspicion(context)),
        Effect.tapError((err) => recordIfCrash(context, err)),
      );
      const trial = { ...admitted, progress };
      const err = yield* withTrialIfSuspect(host, trial, attempt).pipe(
        Effect.map(() => undefined),
        Effect.catchTag("UpstreamError", (err) => Effect.succeed(err)),
      );
      if (err === undefined) break;
      yield* decideAfterFailure(context, err, tries);
    }
    host.retryBudget.recordSuccess(admitted.team, admitted.service);
    const { cost } = progress;
    recordEnd(host, admitted, { outcome: "answered", cost, reason: "" });
  });
}

function clearSuspicion(context: RequestContext): Effect.Effect<void> {
  const { host, admitted, progress } = context;
  return Effect.suspend(() =>
    progress.hasExclusiveUse
      ? host.quarantine.clear(admitted.fingerprint)
      : Effect.void
  );
}

function recordIfCrash(
  context: RequestContext,
  err: { readonly _tag: string },
): Effect.Effect<void> {
  const { host, admitted, progress } = context;
  return Effect.suspend(() => {
    if (!(err instanceof UpstreamError)) return Effect.void;
    if (!looksLikeCrash(err, progress)) return Effect.void;
    // Delivered events cannot be withdrawn, so the request ends with this
    // crash.
    const isFinal = progress.nextOffset > 0;
    const crash = { isExclusive: progress.hasExclusiveUse, isFinal };
    return host.quarantine.recordCrash(admitted.fingerprint, crash);
  }).pipe(Effect.asVoid);
}

function runAttempt(
  context: RequestContext,
  attempt: number,
): Effect.Effect<void, UpstreamError | RequestRejected | CallerLost> {
  const { host, admitted, progress } = context;
  return withSlot(host, admitted, {
    progress,
    bodyBytes: Buffer.byteLength(context.call.body),
    prepare: Effect.void,
    onSlotGranted() {},
    run: (slot) => {
      const run = context.call.service.kind === "engine"
        ? runStream(context, slot, attempt)
        : runPlainCall(context, slot);
      const input = {
        fingerprint: admitted.fingerprint,
        deadlineMs: admitted.deadlineMs,
        upstream: slot.upstream,
        progress,
      };
      return runAtUpstream(host, input, run).pipe(
        Effect.tapError((err) =>
          Effect.sync(() => markDownIfRefused(context, slot, err))
        ),
      );
    },
  });
}

function markDownIfRefused(
  context: RequestContext,
  slot: SlotHandle,
  err: { readonly _tag: string },
): void {
  if (err instanceof UpstreamError && err.failure === "refused") {
    context.host.health.markDown(slot.upstream.id);
  }
}

function runStream(
  context: RequestContext,
  slot: SlotHandle,
  attempt: number,
): Effect.Effect<void, UpstreamError | CallerLost> {
  const { host, admitted, call, res, progress } = context;
  const { upstream } = slot;
  // Each attempt has its own stream id, so that no attempt receives events of
  // an earlier one.
  const stream = attempt === 0 ? admitted.id : `${admitted.id}.${attempt}`;
  const { address } = upstream;
  return runOnEngine(host, {
    request: admitted.id,
    name: {
      team: admitted.team,
      service: admitted.service,
      upstream: upstream.id,
      stream,
      host: host.id,
      incarnation: host.incarnation,
    },
    upstream,
    res,
    progress,
    deadlineMs: admitted.deadlineMs,
    open: host.upstreams.generate({
      address,
      stream,
      body: call.body,
      remainingMs: getRemainingMs(host, admitted),
    }),
  }).pipe(
    Effect.map((cost) => sendStreamEnd(res, admitted.id, cost)),
  );
}

function runPlainCall(
  context: RequestContext,
  slot: SlotHandle,
): Effect.Effect<void, UpstreamError> {
  const { admitted, res } = context;
  return runOnPlainService(context, slot).pipe(
    Effect.map((answer) => sendResponse(res, admitted.id, answer)),
  );
}

/**
 * Succeeds when the request may be retried, otherwise fails with its final
 * reply.
 */
function decideAfterFailure(
  context: RequestContext,
  err: UpstreamError,
  tries: { attempts: number; refusals: number },
): Effect.Effect<void, RequestRejected> {
  const { host, admitted, progress } = context;
  return Effect.gen(function* () {
    const fail = reject(createFailureReply(err, admitted, progress));
    if (!progress.isSent && wasNotSent(err)) {
      tries.refusals++;
      if (tries.refusals > MAX_REFUSED_CONNECTIONS) yield* fail;
      recordRetry(context, err);
      return;
    }
    tries.attempts++;
    const isCrash = looksLikeCrash(err, progress);
    if (isCrash) yield* checkQuarantine(host, admitted.fingerprint, true);
    if (progress.nextOffset > 0 || tries.attempts >= MAX_ATTEMPTS) yield* fail;
    // Requests that ran on a crashing upstream are retried outside the retry
    // budget: as suspects they run one at a time, which bounds the load.
    const mayRetry = isCrash ||
      host.retryBudget.tryTake(admitted.team, admitted.service);
    if (!mayRetry) yield* fail;
    recordRetry(context, err);
  });
}

function recordRetry(context: RequestContext, err: UpstreamError): void {
  const { id: request, team } = context.admitted;
  context.host.recorder.record({
    kind: "request-retried",
    request,
    team,
    upstream: "",
    reason: err.reason,
  });
}
