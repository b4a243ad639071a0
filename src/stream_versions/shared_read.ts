/**
 * Lets all requests that wait share the next read of the platform. A read that
 * began before a request came proves nothing for it: what the caller has seen
 * elsewhere may have been written since. This holds by the order of events
 * alone, also for a process that stood still or whose clock did.
 *
 * Load: hundreds of streams are taken up at once, while the platform is slow,
 * doesn't answer, or refuses this host. Failures prevented: a read for each of
 * them; a read that hangs and holds up all that wait behind it.
 *
 * @module
 */

import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type { Clock } from "../core/mod.ts";
import { failUnreachable, type TableError } from "../discovery/types.ts";

/** Dependencies of a shared read. */
export interface SharedReadHost<A> {
  readonly clock: Clock;
  readonly read: Effect.Effect<A, TableError>;
}

/** A read that several requests share. */
export interface SharedRead<A> {
  /** The outcome of a read that begins after this effect has begun. */
  readonly get: Effect.Effect<A, TableError>;
  /** Whether the last read failed. */
  isFailing(): boolean;
}

/** Mean interval between the starts of reads that follow each other, in ms. */
const INTERVAL_MS = 100;

/** Time by which reads may be ahead of that, in ms. */
const AHEAD_MS = 300;

/** Interval between the starts of two reads while they fail, in ms. */
const FAILING_INTERVAL_MS = 1_000;

/** Time after which a read counts as failed, in ms. */
const READ_LIMIT_MS = 300;

/** Creates a read that has not begun. */
export function createSharedRead<A>(
  { clock, read }: SharedReadHost<A>,
): SharedRead<A> {
  /** Outcome of the read that comes next; it may not have begun. */
  let next: Deferred.Deferred<A, TableError> | undefined;
  let isActive = false;
  let hasFailed = false;
  let begunMs = -Infinity;
  /** Monotonic time in ms of the next read at the mean interval. */
  let dueMs = -Infinity;

  const limited = read.pipe(
    Effect.catchDefect((defect) => failUnreachable(String(defect))),
    Effect.timeoutOrElse({
      duration: READ_LIMIT_MS,
      orElse: () => failUnreachable(`No answer within ${READ_LIMIT_MS} ms`),
    }),
  );

  const waitForTurn = Effect.suspend(() => {
    const turnMs = hasFailed ? begunMs + FAILING_INTERVAL_MS : dueMs - AHEAD_MS;
    const leftMs = turnMs - clock.monotonicMs();
    return leftMs > 0 ? Effect.sleep(leftMs) : Effect.void;
  });

  const readOnce = Effect.suspend(() => {
    const outcome = next;
    next = undefined;
    begunMs = clock.monotonicMs();
    dueMs = Math.max(dueMs, begunMs) + INTERVAL_MS;
    return Effect.exit(limited).pipe(Effect.map((exit) => {
      hasFailed = exit._tag === "Failure";
      if (outcome !== undefined) Deferred.doneUnsafe(outcome, exit);
    }));
  });

  const serve: Effect.Effect<void> = waitForTurn.pipe(
    Effect.andThen(readOnce),
    Effect.andThen(Effect.suspend(() => {
      if (next !== undefined) return serve;
      isActive = false;
      return Effect.void;
    })),
  );

  return {
    get: Effect.suspend(() => {
      next ??= Deferred.makeUnsafe();
      const outcome = Deferred.await(next);
      if (isActive) return outcome;
      isActive = true;
      return Effect.forkDetach(serve).pipe(Effect.andThen(outcome));
    }),
    isFailing: () => hasFailed,
  };
}
