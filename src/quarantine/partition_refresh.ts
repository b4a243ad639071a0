/**
 * Reads the records again before a run while a host is out of sight: what that
 * host counts may not reach this one, and this one may be the host that is cut
 * off.
 *
 * Load: a cut of one host or of a region, while a caller goes on sending content
 * that crashes upstreams. Harm prevented: each side counts for itself.
 *
 * @module
 */

import * as Deferred from "effect/Deferred";
import * as Effect from "effect/Effect";
import type { Clock } from "../core/mod.ts";

/**
 * The records are read again when they are older than this for each host of the
 * fleet, in ms: 200 reads a second from the whole fleet at any size, a tenth of
 * what the table service takes.
 */
const MAX_AGE_MS_PER_HOST = 5;

/** A request waits no longer for the records, in ms. */
const REFRESH_TIMEOUT_MS = 250;

/** What catching up needs. */
export interface PartitionRefreshHost {
  readonly clock: Clock;
  /** Hosts that are known to this one. */
  countHosts(): number;
  /** A host went out of sight a while ago. */
  isAnyHostUnreachable(): boolean;
  readonly refresh: Effect.Effect<void>;
}

/** Makes the effect; requests that come together share one reading. */
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
