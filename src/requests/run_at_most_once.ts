/**
 * Runs a request that may run at most once: the request is claimed before its
 * first byte is sent upstream, is never sent again after that byte, and its
 * outcome is recorded for a resend.
 *
 * The claim is taken while the request waits for its slot, shortly before the
 * slot is expected: the slot does not stay idle during the round trip to the
 * table service, and a host that dies leaves few claims of requests that were
 * still waiting.
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
import { createFailureReply, recordEnd, sendResponse } from "./end.ts";
import { type ParsedCall, reject, type RequestRejected } from "./parse.ts";
import {
  createMayHaveRunReply,
  createNotRunReply,
  type FinalReply,
  RECORDED_HEADER,
} from "./reply.ts";
import { looksLikeCrash } from "./run_on_engine.ts";
import { runOnPlainService } from "./run_on_plain_service.ts";
import { runAtUpstream, withTrialIfSuspect } from "./run_suspect.ts";
import { createProgress, type Progress, type ServeHost } from "./types.ts";
import { withSlot } from "./use_slot.ts";

/** How long before the expected slot the claim is taken, in ms. */
const CLAIM_LEAD_MS = 250;

/** Maximum number of refused connections of one request. */
const MAX_REFUSED_CONNECTIONS = 10;

/**
 * Maximum length of a response that is recorded for a resend, in characters.
 */
const MAX_RECORDED_CHARS = 65_536;

/**
 * A claim that is older than the service's longest deadline by this time has no
 * holder any more, in ms.
 */
const CLAIM_HOLDER_GRACE_MS = 60_000;

/** An earlier request with the same idempotency key has a recorded outcome. */
class AlreadyEnded extends Data.TaggedError("AlreadyEnded")<{
  readonly end: RecordedEnd;
}> {}

interface AtMostOnceContext {
  readonly host: ServeHost;
  readonly admitted: AdmittedRequest;
  readonly call: ParsedCall;
  readonly res: ServerResponse;
  readonly progress: Progress;
  readonly claim: Claim;
  /** Set when the upstream has responded. */
  end: RecordedEnd | undefined;
}

/**
 * Runs the request, or replies with the outcome of an earlier request with the
 * same idempotency key.
 */
export function runAtMostOnce(
  host: ServeHost,
  admitted: AdmittedRequest,
  call: ParsedCall,
  res: ServerResponse,
): Effect.Effect<void, RequestRejected> {
  if (call.service.kind === "engine") {
    const args = [admitted.operation];
    return reject(createNotRunReply(501, "onceNeedsPlainService", { args }));
  }
  const context: AtMostOnceContext = {
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
  return retryUntilSent(context).pipe(
    // The claim is settled however the request ends, also when the caller
    // disconnects; otherwise the key would stay claimed for ever.
    Effect.ensuring(Effect.sync(() => host.runDetached(settleClaim(context)))),
  );
}

/** Retries only after a refused connection, since nothing was sent there. */
function retryUntilSent(
  context: AtMostOnceContext,
): Effect.Effect<void, RequestRejected> {
  const { host, admitted, progress } = context;
  return Effect.gen(function* () {
    let hasClaim = false;
    for (let refusals = 0;; refusals++) {
      const attempt = runWithClaim(context, hasClaim).pipe(
        Effect.tapError((err) => recordIfCrash(context, err)),
      );
      const trial = { ...admitted, progress };
      const err = yield* withTrialIfSuspect(host, trial, attempt).pipe(
        Effect.map(() => undefined),
        Effect.catchTag("UpstreamError", (err) => Effect.succeed(err)),
      );
      if (err === undefined) return;
      hasClaim = true;
      if (wasNotSent(err) && refusals < MAX_REFUSED_CONNECTIONS) continue;
      yield* reject(createFailureReply(err, admitted, progress));
    }
  });
}

function recordIfCrash(
  context: AtMostOnceContext,
  err: { readonly _tag: string },
): Effect.Effect<void> {
  const { host, admitted, progress } = context;
  return Effect.suspend(() => {
    if (!(err instanceof UpstreamError)) return Effect.void;
    if (!looksLikeCrash(err, progress)) return Effect.void;
    const crash = { isExclusive: progress.hasExclusiveUse, isFinal: true };
    return host.quarantine.recordCrash(admitted.fingerprint, crash);
  }).pipe(Effect.asVoid);
}

function runWithClaim(
  context: AtMostOnceContext,
  hasClaim: boolean,
): Effect.Effect<void, UpstreamError | RequestRejected> {
  const { host, admitted, progress } = context;
  const slotGranted = Deferred.makeUnsafe<void>();
  const prepare = hasClaim ? Effect.void : takeClaim(context, slotGranted);
  return withSlot<RecordedEnd, UpstreamError | RequestRejected | AlreadyEnded>(
    host,
    admitted,
    {
      progress,
      bodyBytes: Buffer.byteLength(context.call.body),
      prepare,
      onSlotGranted: () => Deferred.doneUnsafe(slotGranted, Effect.void),
      run: (slot) =>
        runAtUpstream(
          host,
          {
            fingerprint: admitted.fingerprint,
            deadlineMs: admitted.deadlineMs,
            upstream: slot.upstream,
            progress,
          },
          callUpstream(context, slot),
        ),
    },
  ).pipe(
    Effect.map((end) => {
      sendResponse(context.res, admitted.id, end);
      recordEnd(host, admitted, { outcome: "answered", cost: 1, reason: "" });
    }),
    Effect.catchTag("AlreadyEnded", ({ end }) =>
      Effect.sync(() => {
        context.res.setHeader(RECORDED_HEADER, "true");
        sendResponse(context.res, admitted.id, end);
        recordEnd(host, admitted, {
          outcome: "answered",
          cost: 0,
          reason: "Recorded outcome of an earlier request",
        });
      })),
  );
}

function takeClaim(
  context: AtMostOnceContext,
  slotGranted: Deferred.Deferred<void>,
): Effect.Effect<void, RequestRejected | AlreadyEnded> {
  const { host, admitted, claim } = context;
  return Effect.gen(function* () {
    const { team, service } = admitted;
    const expectedMs = host.backlog.getExpectedWaitMs(team, service);
    yield* Deferred.await(slotGranted).pipe(Effect.timeoutOrElse({
      duration: Math.max(0, expectedMs - CLAIM_LEAD_MS),
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
    yield* reject(createClaimReply(host, result, context.call));
  });
}

function createClaimReply(
  host: ServeHost,
  result: Exclude<ClaimResult, { kind: "claimed" | "ended" }>,
  call: ParsedCall,
): FinalReply {
  switch (result.kind) {
    case "other-content":
      return createNotRunReply(422, "idempotencyKeyReused");
    case "unknown":
      return createMayHaveRunReply(409, "claimEndUnknown");
    case "unavailable":
      // The claim may have been written, but this request sent nothing and
      // never will.
      return createNotRunReply(503, "claimsUnavailable", {
        retryAfterMs: 2_000,
      });
    case "under-way": {
      const { row } = result;
      if (host.isProcessDead(row.host, row.incarnation)) {
        return createMayHaveRunReply(409, "claimHolderLost");
      }
      const claimedMs = row.expiresMs - CLAIM_RETENTION_MS;
      const limitMs = call.service.maxDeadlineMs + CLAIM_HOLDER_GRACE_MS;
      if (host.clock.wallMs() > claimedMs + limitMs) {
        return createMayHaveRunReply(409, "claimEndUnknown");
      }
      return createMayHaveRunReply(409, "claimedElsewhere", {
        retryAfterMs: 1_000,
      });
    }
  }
}

/** Calls the upstream. The call continues when the caller disconnects. */
function callUpstream(
  context: AtMostOnceContext,
  slot: SlotHandle,
): Effect.Effect<RecordedEnd, UpstreamError> {
  const sent = runOnPlainService(context, slot).pipe(
    Effect.tap((answer) => Effect.sync(() => context.end = answer)),
  );
  return Effect.uninterruptible(sent).pipe(
    Effect.tapError((err) =>
      Effect.sync(() => {
        if (err.failure !== "refused") return;
        context.host.health.markDown(slot.upstream.id);
      })
    ),
  );
}

/**
 * Records the end of the claim. The response does not wait for this: a slow or
 * unavailable table service would hold back responses that are complete. A
 * resend that arrives before the record is told that the request is under way.
 */
function settleClaim(context: AtMostOnceContext): Effect.Effect<boolean> {
  const { claim, end, progress } = context;
  if (end !== undefined) {
    return end.body.length <= MAX_RECORDED_CHARS
      ? claim.recordEnd(end)
      : claim.recordUnknown();
  }
  return progress.isSent || progress.mayHaveRun
    ? claim.recordUnknown()
    : claim.release();
}
