/**
 * Which upstreams this host uses now, and the right to use one alone. It sees
 * the runs of this host only: other hosts may use the same upstream.
 *
 * Load: a request that crashes its upstream is run again, beside others. Harm
 * prevented: its innocent neighbours crash with it again and come under the same
 * suspicion.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import * as Semaphore from "effect/Semaphore";
import { getOrCreate } from "../core/mod.ts";

/** Longest wait for the others to end, in ms; meanwhile slots stand idle. */
export const EXCLUSIVE_WAIT_MS = 10_000;

/** Runs at the upstreams of this host. */
export interface UpstreamLocks {
  /** Waits while another run has the upstream alone; then counts as a run. */
  acquireShared(upstream: string): Effect.Effect<void>;
  /** Waits for all runs to end; false when they took too long. */
  acquireExclusive(upstream: string): Effect.Effect<boolean>;
  /** Ends a run that entered, alone or not. */
  release(upstream: string, wasExclusive: boolean): void;
  /** Runs at the upstream now. */
  getHolderCount(upstream: string): number;
  /** Runs one after the other, whatever their upstreams. */
  runSerialized<A, E>(run: Effect.Effect<A, E>): Effect.Effect<A, E>;
}

interface LockState {
  holders: number;
  /** A run has the upstream alone, or waits for that. */
  isReserved: boolean;
  waiting: (() => void)[];
}

/** Makes the state of a host that runs nothing. */
export function createUpstreamLocks(): UpstreamLocks {
  const locks = new Map<string, LockState>();
  const serialMutex = Semaphore.makeUnsafe(1);

  function getLock(upstream: string): LockState {
    return getOrCreate(locks, upstream, () => ({
      holders: 0,
      isReserved: false,
      waiting: [],
    }));
  }

  function wakeAll(lock: LockState): void {
    const { waiting } = lock;
    lock.waiting = [];
    for (const wake of waiting) wake();
  }

  function waitUntil(
    lock: LockState,
    isReady: () => boolean,
  ): Effect.Effect<void> {
    return Effect.callback<void>((resume) => {
      const check = () => {
        if (isReady()) resume(Effect.void);
        else lock.waiting.push(check);
      };
      check();
      return Effect.sync(() => {
        lock.waiting = lock.waiting.filter((each) => each !== check);
      });
    });
  }

  return {
    acquireShared: (upstream) =>
      Effect.gen(function* () {
        const lock = getLock(upstream);
        while (lock.isReserved) yield* waitUntil(lock, () => !lock.isReserved);
        lock.holders++;
      }),
    acquireExclusive: (upstream) =>
      Effect.gen(function* () {
        const lock = getLock(upstream);
        while (lock.isReserved) yield* waitUntil(lock, () => !lock.isReserved);
        lock.isReserved = true;
        const isExclusive = yield* waitUntil(lock, () => lock.holders === 0)
          .pipe(
            Effect.as(true),
            Effect.timeoutOrElse({
              duration: EXCLUSIVE_WAIT_MS,
              orElse: () => Effect.succeed(false),
            }),
            Effect.onInterrupt(() => Effect.sync(() => clearReservation(lock))),
          );
        if (isExclusive) lock.holders++;
        else clearReservation(lock);
        return isExclusive;
      }),
    release(upstream, wasExclusive) {
      const lock = getLock(upstream);
      lock.holders--;
      if (wasExclusive) lock.isReserved = false;
      wakeAll(lock);
    },
    getHolderCount: (upstream) => locks.get(upstream)?.holders ?? 0,
    runSerialized: (run) => serialMutex.withPermits(1)(run),
  };

  function clearReservation(lock: LockState): void {
    lock.isReserved = false;
    wakeAll(lock);
  }
}
