/**
 * Runs of a request that may run at most once: claimed before its first byte
 * goes upstream, never sent again after that byte, and its end recorded for a
 * resend.
 *
 * The claim is taken beside the wait for the slot, shortly before the slot is
 * expected: a slot does not idle during the store's round trip, and a host that
 * dies leaves few claims of requests that only waited.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import * as Data from "effect/Data";
import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type { Claim, ClaimResult, RecordedEnd } from "../claims/mod.ts";
import { CLAIM_RETENTION_MS } from "../claims/mod.ts";
import type { SlotHandle } from "../slots/mod.ts";
import type { AdmittedRequest } from "../types.ts";
import { UpstreamError, wasNotSent } from "../upstreams/mod.ts";
import { recordEnd, sendAnswer, toReply } from "./end.ts";
import { type ParsedCall, reject, type RequestRejected } from "./parse.ts";
import {
  createMayHaveRun,
  createNotRun,
  type FinalReply,
  RECORDED_HEADER,
} from "./reply.ts";
import { looksLikeCrash } from "./run_on_engine.ts";
import { runOnPlainService } from "./run_on_plain_service.ts";
import { runAtUpstream, takeTurn } from "./run_suspect.ts";
import { createProgress, type Progress, type ServeHost } from "./types.ts";
import { withSlot } from "./use_slot.ts";

/** The claim is taken so long before the slot is expected, in ms. */
const CLAIM_AHEAD_MS = 250;

/** Refused connections of one request, at most. */
const MAX_REFUSALS = 10;

/** Longer answers are not kept for a resend, in characters. */
const MAX_RECORDED = 65_536;

/** A claim older than its deadline by so much has no holder any more, in ms. */
const HOLDER_SLACK_MS = 60_000;

/** An earlier request with the same key has its end already. */
class AlreadyEnded extends Data.TaggedError("AlreadyEnded")<{
  readonly end: RecordedEnd;
}> {}

interface OnceContext {
  readonly host: ServeHost;
  readonly admitted: AdmittedRequest;
  readonly call: ParsedCall;
  readonly res: ServerResponse;
  readonly progress: Progress;
  readonly claim: Claim;
  /** Set when the upstream has answered. */
  end: RecordedEnd | undefined;
}

/** Runs the request, or tells what became of an earlier one with its key. */
export function runOnce(
  host: ServeHost,
  admitted: AdmittedRequest,
  call: ParsedCall,
  res: ServerResponse,
): Effect.Effect<void, RequestRejected> {
  if (call.service.kind === "engine") {
    const args = [admitted.operation];
    return reject(createNotRun(501, "onceNeedsPlainService", { args }));
  }
  const context: OnceContext = {
    host,
    admitted,
    call,
    res,
    progress: createProgress(),
    claim: host.claims.create({
      team: admitted.team,
      service: admitted.service,
      operation: admitted.operation,
      idempotencyKey: call.idempotencyKey,
      fingerprint: admitted.fingerprint,
      attempt: admitted.id,
    }),
    end: undefined,
  };
  return runUntilSent(context).pipe(
    // Whatever ended the request, also the loss of its caller: the claim is
    // settled, or the key would be held for good.
    Effect.ensuring(Effect.sync(() => host.runDetached(settle(context)))),
  );
}

/** Tries again only after a refused connection: nothing was sent there. */
function runUntilSent(
  context: OnceContext,
): Effect.Effect<void, RequestRejected> {
  const { host, admitted, progress } = context;
  return Effect.gen(function* () {
    let hasClaim = false;
    for (let refusals = 0;; refusals++) {
      const attempt = runWithClaim(context, hasClaim).pipe(
        Effect.tapError((err) => countCrash(context, err)),
      );
      const turn = { ...admitted, progress };
      const err = yield* takeTurn(host, turn, attempt).pipe(
        Effect.map(() => undefined),
        Effect.catchTag("UpstreamError", (err) => Effect.succeed(err)),
      );
      if (err === undefined) return;
      hasClaim = true;
      if (wasNotSent(err) && refusals < MAX_REFUSALS) continue;
      yield* reject(toReply(err, admitted, progress));
    }
  });
}

function countCrash(
  context: OnceContext,
  err: { readonly _tag: string },
): Effect.Effect<void> {
  const { host, admitted, progress } = context;
  return Effect.suspend(() => {
    if (!(err instanceof UpstreamError)) return Effect.void;
    if (!looksLikeCrash(err, progress)) return Effect.void;
    const crash = { isAlone: progress.isAlone, isFinal: true };
    return host.quarantine.recordCrash(admitted.fingerprint, crash);
  }).pipe(Effect.asVoid);
}

function runWithClaim(
  context: OnceContext,
  hasClaim: boolean,
): Effect.Effect<void, UpstreamError | RequestRejected> {
  const { host, admitted, progress } = context;
  const slotCame = Deferred.makeUnsafe<void>();
  const prepare = hasClaim ? Effect.void : takeClaim(context, slotCame);
  return withSlot<RecordedEnd, UpstreamError | RequestRejected | AlreadyEnded>(
    host,
    admitted,
    {
      progress,
      bodyBytes: Buffer.byteLength(context.call.body),
      prepare,
      onSlot: () => Deferred.doneUnsafe(slotCame, Effect.void),
      run: (slot) =>
        runAtUpstream(
          host,
          {
            fingerprint: admitted.fingerprint,
            deadlineMs: admitted.deadlineMs,
            upstream: slot.upstream,
            progress,
          },
          send(context, slot),
        ),
    },
  ).pipe(
    Effect.map((end) => {
      sendAnswer(context.res, admitted.id, end);
      recordEnd(host, admitted, { outcome: "answered", cost: 1, reason: "" });
    }),
    Effect.catchTag("AlreadyEnded", ({ end }) =>
      Effect.sync(() => {
        context.res.setHeader(RECORDED_HEADER, "true");
        sendAnswer(context.res, admitted.id, end);
        recordEnd(host, admitted, {
          outcome: "answered",
          cost: 0,
          reason: "Recorded",
        });
      })),
  );
}

function takeClaim(
  context: OnceContext,
  slotCame: Deferred.Deferred<void>,
): Effect.Effect<void, RequestRejected | AlreadyEnded> {
  const { host, admitted, claim } = context;
  return Effect.gen(function* () {
    const { team, service } = admitted;
    const expectedMs = host.backlog.getExpectedWaitMs(team, service);
    yield* Deferred.await(slotCame).pipe(Effect.timeoutOrElse({
      duration: Math.max(0, expectedMs - CLAIM_AHEAD_MS),
      orElse: () => Effect.void,
    }));
    const result = yield* claim.acquire;
    host.recorder.record({
      kind: "claim-decided",
      request: admitted.id,
      team: admitted.team,
      decision: result.kind,
    });
    if (result.kind === "claimed") return;
    if (result.kind === "ended") {
      return yield* Effect.fail(new AlreadyEnded({ end: result.end }));
    }
    yield* reject(toClaimReply(host, result, context.call));
  });
}

function toClaimReply(
  host: ServeHost,
  result: Exclude<ClaimResult, { kind: "claimed" | "ended" }>,
  call: ParsedCall,
): FinalReply {
  switch (result.kind) {
    case "other-content":
      return createNotRun(422, "idempotencyKeyReused");
    case "unknown":
      return createMayHaveRun(409, "claimEndUnknown");
    case "unavailable":
      // The claim may stand, but this attempt sent nothing and never will.
      return createNotRun(503, "claimsUnavailable", { retryAfterMs: 2_000 });
    case "under-way": {
      const { row } = result;
      if (host.isProcessGone(row.host, row.incarnation)) {
        return createMayHaveRun(409, "claimHolderLost");
      }
      const claimedMs = row.expiresMs - CLAIM_RETENTION_MS;
      const limitMs = call.service.maxDeadlineMs + HOLDER_SLACK_MS;
      if (host.clock.wallMs() > claimedMs + limitMs) {
        return createMayHaveRun(409, "claimEndUnknown");
      }
      return createMayHaveRun(409, "claimedElsewhere", { retryAfterMs: 1_000 });
    }
  }
}

/** The call itself; the caller's loss does not cut it off. */
function send(
  context: OnceContext,
  slot: SlotHandle,
): Effect.Effect<RecordedEnd, UpstreamError> {
  const sent = runOnPlainService(context, slot).pipe(
    Effect.tap((answer) => Effect.sync(() => context.end = answer)),
  );
  return Effect.uninterruptible(sent).pipe(
    Effect.tapError((err) =>
      Effect.sync(() => {
        if (err.failure !== "refused") return;
        context.host.health.setDown(slot.upstream.id);
      })
    ),
  );
}

/**
 * Records what became of the claim. The answer does not wait for it: a store
 * that is slow or down would hold back answers that are already there. A resend
 * that comes before the record is told that the request is under way.
 */
function settle(context: OnceContext): Effect.Effect<boolean> {
  const { claim, end, progress } = context;
  if (end !== undefined) {
    return end.body.length <= MAX_RECORDED
      ? claim.recordEnd(end)
      : claim.recordUnknown();
  }
  return progress.isSent || progress.mayHaveRun
    ? claim.recordUnknown()
    : claim.release();
}
