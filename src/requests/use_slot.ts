/**
 * Waits for a slot, runs a task with it, and releases it exactly once, however
 * the task ends, together with the cost of the request.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import { getRegion } from "../placement/mod.ts";
import type { SlotHandle } from "../slots/mod.ts";
import type { AdmittedRequest } from "../types.ts";
import { DOWN_SLOT_HOLD_MS } from "../upstreams/mod.ts";
import { reject, type RequestRejected } from "./parse.ts";
import { createMayHaveRunReply, createNotRunReply } from "./reply.ts";
import {
  getTokenIntervalMs,
  type Progress,
  resetForAttempt,
  type ServeHost,
} from "./types.ts";

/** A task that needs a slot. */
export interface SlotTask<A, E> {
  readonly progress: Progress;
  readonly bodyBytes: number;
  /** Runs while the request waits; the task starts once both are done. */
  readonly prepare: Effect.Effect<void, E>;
  /** Called when the slot has been granted. */
  onSlotGranted(): void;
  run(slot: SlotHandle): Effect.Effect<A, E>;
}

const UNUSED_END = {
  cost: 0,
  firstByteMs: 0,
  tokenIntervalMs: 0,
  result: "unused" as const,
};

/** Waits for a slot and runs the task with it. */
export function withSlot<A, E>(
  host: ServeHost,
  admitted: AdmittedRequest,
  task: SlotTask<A, E>,
): Effect.Effect<A, E | RequestRejected> {
  return Effect.suspend(() => {
    const { progress } = task;
    const held: { slot?: SlotHandle } = {};
    let isAnswered = false;
    resetForAttempt(progress);
    const wait = waitForSlot(host, admitted, held, task);
    return Effect.all([task.prepare, wait], { concurrency: "unbounded" }).pipe(
      Effect.flatMap(() => task.run(held.slot!)),
      Effect.tap(() => Effect.sync(() => isAnswered = true)),
      // Also runs when the caller disconnects: a slot that is never released
      // would stay idle for ever.
      Effect.ensuring(
        Effect.sync(() =>
          releaseSlot(host, admitted, held.slot, {
            progress,
            isAnswered,
          })
        ),
      ),
    );
  });
}

/** Releases the slot once the upstream has stopped working on the attempt. */
function releaseSlot(
  host: ServeHost,
  admitted: AdmittedRequest,
  slot: SlotHandle | undefined,
  attempt: { readonly progress: Progress; readonly isAnswered: boolean },
): void {
  if (slot === undefined) return;
  const { progress, isAnswered } = attempt;
  const { firstByteMs, isSent, pendingUpstreamWork } = progress;
  const failed = isSent ? "failed" as const : "unused" as const;
  const result = isAnswered ? "answered" as const : failed;
  const tokenIntervalMs = getTokenIntervalMs(progress);
  const end = { cost: progress.cost, firstByteMs, tokenIntervalMs, result };
  if (isAnswered && firstByteMs > 0) {
    const runMs = firstByteMs + progress.tokenWaitMs;
    host.backlog.recordRun(admitted.service, { firstByteMs, runMs });
  }
  if (pendingUpstreamWork === undefined) {
    slot.release(end);
    return;
  }
  host.runDetached(pendingUpstreamWork.pipe(Effect.map((tokens) => {
    slot.release({ ...end, cost: Math.max(end.cost, tokens) });
  })));
}

/**
 * Fails when the deadline has passed. The clock is read right before the first
 * byte is sent upstream, since a process that was paused after the grant may
 * find that its caller no longer waits.
 */
export function checkDeadline(
  host: ServeHost,
  input: { readonly deadlineMs: number; readonly progress: Progress },
): Effect.Effect<void, RequestRejected> {
  return Effect.suspend(() =>
    host.clock.monotonicMs() < input.deadlineMs
      ? Effect.void
      : rejectUnserved(input.progress)
  );
}

function rejectUnserved(
  progress: Progress,
  message: "deadlinePassed" | "deadlineLost" | "draining" = "deadlinePassed",
  retryAfterMs = 1_000,
): Effect.Effect<never, RequestRejected> {
  const options = { retryAfterMs };
  return reject(
    progress.mayHaveRun
      ? createMayHaveRunReply(504, message, options)
      : createNotRunReply(504, message, options),
  );
}

/**
 * Waits for a slot until the deadline at most, and only while the deadline can
 * be met. A cancelled wait leaves nothing behind.
 */
function waitForSlot<A, E>(
  host: ServeHost,
  admitted: AdmittedRequest,
  held: { slot?: SlotHandle },
  task: SlotTask<A, E>,
): Effect.Effect<void, RequestRejected> {
  const { progress } = task;
  const wait = Effect.callback<void, RequestRejected>((resume) => {
    const start = (slot: SlotHandle) => {
      if (host.health.isDown(slot.upstream.id)) {
        releaseAfterHold(host, slot);
        host.slots.acquire(admitted, start);
        return;
      }
      held.slot = slot;
      host.backlog.dequeue(admitted, "started");
      resume(Effect.void);
    };
    host.backlog.enqueue(admitted, task.bodyBytes, (retryAfterMs) => {
      host.slots.cancel(admitted);
      resume(rejectUnserved(progress, "deadlineLost", retryAfterMs));
    });
    host.slots.acquire(admitted, start);
    return Effect.sync(() => {
      host.backlog.dequeue(admitted, "gave-up");
      host.slots.cancel(admitted);
    });
  });
  const giveUp = host.waitUntilDrainTimeout.pipe(
    Effect.flatMap(() => rejectUnserved(progress, "draining")),
  );
  return wait.pipe(
    Effect.raceFirst(giveUp),
    Effect.timeoutOrElse({
      duration: Math.max(0, admitted.deadlineMs - host.clock.monotonicMs()),
      orElse: () => {
        const { team, service } = admitted;
        const retryAfterMs = host.backlog.getRetryAfterMs(team, service);
        return rejectUnserved(progress, "deadlinePassed", retryAfterMs);
      },
    }),
    Effect.tap(() =>
      Effect.sync(() => {
        recordDispatch(host, admitted, held.slot!);
        task.onSlotGranted();
      })
    ),
  );
}

function releaseAfterHold(host: ServeHost, slot: SlotHandle): void {
  host.runDetached(
    Effect.sleep(DOWN_SLOT_HOLD_MS).pipe(
      Effect.tap(() => Effect.sync(() => slot.release(UNUSED_END))),
    ),
  );
}

function recordDispatch(
  host: ServeHost,
  admitted: AdmittedRequest,
  slot: SlotHandle,
): void {
  const nowMs = host.clock.monotonicMs();
  const { team, id: request } = admitted;
  recordCrossRegion(host, admitted, slot);
  host.recorder.record({
    kind: "request-dispatched",
    request,
    team,
    upstream: slot.upstream.id,
    waitedMs: Math.round(nowMs - admitted.arrivedMs),
  });
}

/**
 * Records that the request is sent to another region, over the link that is
 * billed by volume.
 */
function recordCrossRegion(
  host: ServeHost,
  admitted: AdmittedRequest,
  slot: SlotHandle,
): void {
  const deployment = host.getDeployment();
  if (deployment === undefined) return;
  const own = getRegion(deployment, host.dataCentre);
  const other = getRegion(deployment, slot.upstream.dataCentre);
  if (own === other) return;
  host.recorder.record({
    kind: "request-shifted",
    request: admitted.id,
    team: admitted.team,
    reason: `a slot in region ${other} was granted before one in region ${own}`,
  });
}
