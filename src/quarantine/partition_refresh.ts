/**
 * Reloads the crash records before a request runs while a host is unreachable:
 * crashes recorded by that host may not have reached this one, and this host
 * may be the one that is cut off.
 *
 * Load: one host or one region is partitioned from the others while a caller
 * keeps sending content that crashes upstreams. Failure prevented: each side of
 * the partition counts crashes on its own.
 *
 * @module
 */

import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type { Clock } from "../core/mod.ts";

/**
 * Age at which the records are reloaded, in ms, for each host of the fleet: all
 * hosts together then read the records 200 times a second in a fleet of any
 * size, a tenth of what the table service can handle.
 */
const MAX_AGE_MS_PER_HOST = 5;

/** Longest time that a request waits for the records, in ms. */
const REFRESH_TIMEOUT_MS = 250;

/** Dependencies of the reload, supplied by the process. */
export interface PartitionRefreshHost {
  readonly clock: Clock;
  /** Number of hosts that this host knows. */
  countHosts(): number;
  /** Whether some host has been unreachable for a while. */
  isAnyHostUnreachable(): boolean;
  readonly refresh: Effect.Effect<void>;
}

/** Creates the effect; concurrent requests share one reload. */
export function createPartitionRefresh(
  host: PartitionRefreshHost,
): Effect.Effect<void> {
  let lastReadMs = -Infinity;
  let running: Deferred.Deferred<void> | undefined;

  function startRefresh(): Deferred.Deferred<void> {
    const done = Deferred.makeUnsafe<void>();
    running = done;
    lastReadMs = host.clock.monotonicMs();
    Effect.runFork(host.refresh.pipe(Effect.ensuring(Effect.sync(() => {
      running = undefined;
      Deferred.doneUnsafe(done, Effect.void);
    }))));
    return done;
  }

  return Effect.suspend(() => {
    if (!host.isAnyHostUnreachable()) return Effect.void;
    const maxAgeMs = host.countHosts() * MAX_AGE_MS_PER_HOST;
    const isStale = host.clock.monotonicMs() - lastReadMs >= maxAgeMs;
    const refresh = running ?? (isStale ? startRefresh() : undefined);
    if (refresh === undefined) return Effect.void;
    return Deferred.await(refresh).pipe(Effect.timeoutOrElse({
      duration: REFRESH_TIMEOUT_MS,
      orElse: () => Effect.void,
    }));
  });
}
