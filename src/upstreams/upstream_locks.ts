/**
 * Shared/exclusive locks on the upstreams. They cover the runs of this host
 * only: other hosts may use the same upstream.
 *
 * Load: a request that crashes its upstream is run again, beside others.
 *
 * Failure prevented: the other runs crash together with it again, and become
 * suspects as well.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import * as Semaphore from "effect/Semaphore";
import { getOrCreate } from "../core/mod.ts";

/**
 * Time-out for acquiring an exclusive lock, in ms. While a run waits for it,
 * slots of the upstream are idle.
 */
export const EXCLUSIVE_WAIT_MS = 10_000;

/** Locks on upstreams for the runs of this host. */
export interface UpstreamLocks {
  /**
   * Acquires a shared lock; waits while an exclusive lock is held or awaited.
   */
  acquireShared(upstream: string): Effect.Effect<void>;
  /**
   * Acquires an exclusive lock; returns false if other runs did not end in
   * time.
   */
  acquireExclusive(upstream: string): Effect.Effect<boolean>;
  /** Releases a lock that was acquired. */
  release(upstream: string, wasExclusive: boolean): void;
  /** Returns the number of runs that hold a lock on the upstream. */
  getHolderCount(upstream: string): number;
  /** Runs the effects one after the other, regardless of their upstreams. */
  runSerialized<A, E>(run: Effect.Effect<A, E>): Effect.Effect<A, E>;
}

interface LockState {
  holders: number;
  /** Whether an exclusive lock is held or awaited. */
  isReserved: boolean;
  waiting: (() => void)[];
}

/** Creates locks that nobody holds. */
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
