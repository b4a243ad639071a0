/**
 * Tracks upstreams that have asked this host to back off.
 *
 * Load: an upstream that sheds load rejects requests at once, and so looks the
 * least loaded of all.
 *
 * Failure prevented: it is preferred to all others, request after request is
 * rejected there, and each of them takes from the fleet's retry budget.
 *
 * A back-off applies to one instance of the upstream (until its restart) and to
 * this host only. It starts when the response is read, and is measured by the
 * monotonic clock, so that it never ends earlier here than at the upstream.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { UpstreamInstance } from "../discovery/mod.ts";

/** The back-offs that this host was asked for. */
export interface BackoffWatch {
  /** Records that the upstream wants no requests for the given time, in ms. */
  record(instance: UpstreamInstance, backoffMs: number): void;
  /** Returns the remaining time of the back-off, in ms; 0 if there is none. */
  getRemainingMs(instance: UpstreamInstance): number;
  /**
   * Records a response, which shows that the upstream accepts requests again.
   */
  recordSuccess(instance: UpstreamInstance): void;
  /**
   * Leaves out upstreams that have enough requests for the time right after a
   * back-off: they get few at a time until they have responded to some (slow
   * start), unless there is no other upstream. Expects upstreams that are not
   * in back-off.
   */
  limitAfterBackoff<T extends UpstreamInstance>(
    upstreams: readonly T[],
    getInFlight: (id: string) => number,
  ): readonly T[];
}

/** Limit on requests in flight from this host right after a back-off. */
const INITIAL_IN_FLIGHT = 1;

/**
 * Each response multiplies the limit by this factor. Above the maximum the
 * limit is lifted.
 */
const GROWTH_FACTOR = 2;
const MAX_IN_FLIGHT = 16;

/** A back-off is forgotten this time after its end, in ms. */
const BACKOFF_TTL_MS = 60_000;

interface Backoff {
  readonly incarnation: number;
  untilMs: number;
  /** Limit on requests in flight after the end of the back-off. */
  maxInFlight: number;
}

/** Creates a watch without back-offs. */
export function createBackoffWatch(clock: Clock): BackoffWatch {
  const backoffs = new Map<string, Backoff>();

  function tryGet({ id, incarnation }: UpstreamInstance): Backoff | undefined {
    const backoff = backoffs.get(id);
    return backoff?.incarnation === incarnation ? backoff : undefined;
  }

  function getRemainingMs(instance: UpstreamInstance): number {
    const untilMs = tryGet(instance)?.untilMs ?? -Infinity;
    return Math.max(0, untilMs - clock.monotonicMs());
  }

  function evictExpired(nowMs: number): void {
    for (const [id, { untilMs }] of backoffs) {
      if (nowMs - untilMs > BACKOFF_TTL_MS) backoffs.delete(id);
    }
  }

  return {
    record(instance, backoffMs) {
      const nowMs = clock.monotonicMs();
      evictExpired(nowMs);
      const untilMs = nowMs + backoffMs;
      // Of several back-offs, the one that ends last applies.
      const earlierUntilMs = tryGet(instance)?.untilMs ?? -Infinity;
      backoffs.set(instance.id, {
        incarnation: instance.incarnation,
        untilMs: Math.max(untilMs, earlierUntilMs),
        maxInFlight: INITIAL_IN_FLIGHT,
      });
    },
    getRemainingMs,
    recordSuccess(instance) {
      const backoff = tryGet(instance);
      // Requests sent before the back-off may still be answered during it.
      if (backoff === undefined || getRemainingMs(instance) > 0) return;
      backoff.maxInFlight *= GROWTH_FACTOR;
      if (backoff.maxInFlight > MAX_IN_FLIGHT) backoffs.delete(instance.id);
    },
    limitAfterBackoff(upstreams, getInFlight) {
      if (backoffs.size === 0) return upstreams;
      const belowLimit = upstreams.filter((each) =>
        getInFlight(each.id) < (tryGet(each)?.maxInFlight ?? Infinity)
      );
      return belowLimit.length > 0 ? belowLimit : upstreams;
    },
  };
}
