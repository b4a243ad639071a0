/**
 * Runs of a request that may be repeated: on another upstream when one fails
 * before anything was delivered.
 *
 * Load: upstreams that die or refuse while requests are in flight. Harm
 * prevented: callers lose answers that another upstream could give, or retries
 * multiply until nothing succeeds.
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
import { recordEnd, sendAnswer, sendStreamEnd, toReply } from "./end.ts";
import { type ParsedCall, reject, type RequestRejected } from "./parse.ts";
import { looksLikeCrash, runOnEngine } from "./run_on_engine.ts";
import { runOnPlainService } from "./run_on_plain_service.ts";
import { checkQuarantine, runAtUpstream, takeTurn } from "./run_suspect.ts";
import {
  createProgress,
  getRemainingMs,
  type Progress,
  type ServeHost,
} from "./types.ts";
import { withSlot } from "./use_slot.ts";

/** Runs of an idempotent request that reach an upstream, at most. */
export const MAX_RUNS = 3;

/**
 * Refused connections of one request, at most. They cost next to nothing and
 * each marks its upstream as down, so there may be as many as upstreams.
 */
const MAX_REFUSALS = 10;

interface RunContext {
  readonly host: ServeHost;
  readonly admitted: AdmittedRequest;
  readonly call: ParsedCall;
  readonly res: ServerResponse;
  readonly progress: Progress;
}

/** Runs the request until it is answered or given up. */
export function runIdempotent(
  host: ServeHost,
  admitted: AdmittedRequest,
  call: ParsedCall,
  res: ServerResponse,
): Effect.Effect<void, RequestRejected | CallerLost> {
  const progress = createProgress();
  const context = { host, admitted, call, res, progress };
  return Effect.gen(function* () {
    const tries = { runs: 0, refusals: 0 };
    while (true) {
      // Counted and cleared within the turn: the next run of the same content,
      // here or elsewhere, must know of it.
      const run = runOnce(context, tries.runs).pipe(
        Effect.tap(() => clearSuspicion(context)),
        Effect.tapError((err) => countCrash(context, err)),
      );
      const turn = { ...admitted, progress };
      const err = yield* takeTurn(host, turn, run).pipe(
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

function clearSuspicion(context: RunContext): Effect.Effect<void> {
  const { host, admitted, progress } = context;
  return Effect.suspend(() =>
    progress.isAlone ? host.quarantine.clear(admitted.fingerprint) : Effect.void
  );
}

function countCrash(
  context: RunContext,
  err: { readonly _tag: string },
): Effect.Effect<void> {
  const { host, admitted, progress } = context;
  return Effect.suspend(() => {
    if (!(err instanceof UpstreamError)) return Effect.void;
    if (!looksLikeCrash(err, progress)) return Effect.void;
    // What was delivered can't be taken back, so such a request ends here.
    const isFinal = progress.nextOffset > 0;
    const crash = { isAlone: progress.isAlone, isFinal };
    return host.quarantine.recordCrash(admitted.fingerprint, crash);
  }).pipe(Effect.asVoid);
}

function runOnce(
  context: RunContext,
  number: number,
): Effect.Effect<void, UpstreamError | RequestRejected | CallerLost> {
  const { host, admitted, progress } = context;
  return withSlot(host, admitted, {
    progress,
    bodyBytes: Buffer.byteLength(context.call.body),
    prepare: Effect.void,
    onSlot() {},
    run: (slot) => {
      const run = context.call.service.kind === "engine"
        ? runStream(context, slot, number)
        : runCall(context, slot);
      const input = {
        fingerprint: admitted.fingerprint,
        deadlineMs: admitted.deadlineMs,
        upstream: slot.upstream,
        progress,
      };
      return runAtUpstream(host, input, run).pipe(
        Effect.tapError((err) =>
          Effect.sync(() => noteRefusal(context, slot, err))
        ),
      );
    },
  });
}

function noteRefusal(
  context: RunContext,
  slot: SlotHandle,
  err: { readonly _tag: string },
): void {
  if (err instanceof UpstreamError && err.failure === "refused") {
    context.host.health.markDown(slot.upstream.id);
  }
}

function runStream(
  context: RunContext,
  slot: SlotHandle,
  run: number,
): Effect.Effect<void, UpstreamError | CallerLost> {
  const { host, admitted, call, res, progress } = context;
  const { upstream } = slot;
  // Each run is a stream of its own, so that none mixes with an earlier one.
  const stream = run === 0 ? admitted.id : `${admitted.id}.${run}`;
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

function runCall(
  context: RunContext,
  slot: SlotHandle,
): Effect.Effect<void, UpstreamError> {
  const { admitted, res } = context;
  return runOnPlainService(context, slot).pipe(
    Effect.map((answer) => sendAnswer(res, admitted.id, answer)),
  );
}

/** Succeeds when the request may run again, else fails with its final reply. */
function decideAfterFailure(
  context: RunContext,
  err: UpstreamError,
  tries: { runs: number; refusals: number },
): Effect.Effect<void, RequestRejected> {
  const { host, admitted, progress } = context;
  return Effect.gen(function* () {
    const giveUp = reject(toReply(err, admitted, progress));
    if (!progress.isSent && wasNotSent(err)) {
      tries.refusals++;
      if (tries.refusals > MAX_REFUSALS) yield* giveUp;
      recordRetry(context, err);
      return;
    }
    tries.runs++;
    const isCrash = looksLikeCrash(err, progress);
    if (isCrash) yield* checkQuarantine(host, admitted.fingerprint, true);
    if (progress.nextOffset > 0 || tries.runs >= MAX_RUNS) yield* giveUp;
    // Whatever ran beside a crash is run again outside the budget: it does so
    // one at a time, which bounds the load.
    const mayRetry = isCrash ||
      host.retryBudget.tryTake(admitted.team, admitted.service);
    if (!mayRetry) yield* giveUp;
    recordRetry(context, err);
  });
}

function recordRetry(context: RunContext, err: UpstreamError): void {
  const { id: request, team } = context.admitted;
  context.host.recorder.record({
    kind: "request-retried",
    request,
    team,
    upstream: "",
    reason: err.reason,
  });
}
