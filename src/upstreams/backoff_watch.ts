/**
 * Upstreams that have asked this host for a rest.
 *
 * Load: an upstream that sheds its load refuses at once, and so has the least to
 * do of all. Harm prevented: it is chosen before all others, request after request
 * is refused there, and each takes from the retries that all hosts share.
 *
 * A rest holds for one start of the upstream and for this host alone. It counts
 * from when the answer was read, by a clock that no change of the time of day
 * moves, so that it ends here no sooner than at the upstream.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { UpstreamLife } from "../discovery/mod.ts";

/** The rests that this host was asked for. */
export interface BackoffWatch {
  /** The upstream wants no request for so long, in ms. */
  record(life: UpstreamLife, backoffMs: number): void;
  /** What is left of the rest, in ms; 0 for none. */
  getRemainingMs(life: UpstreamLife): number;
  /** An answer shows that the upstream takes requests again. */
  recordSuccess(life: UpstreamLife): void;
  /**
   * Those that may get a request now. One that has just rested gets a few at a
   * time until it has answered some, unless there is no other.
   */
  filterAvailable<T extends UpstreamLife>(
    upstreams: readonly T[],
    getInFlight: (id: string) => number,
  ): readonly T[];
}

/** Requests in flight from this host that the first ones after a rest may be. */
const INITIAL_IN_FLIGHT = 1;

/** Each answer allows so many times as many; at the most all are allowed. */
const GROWTH_FACTOR = 2;
const MAX_IN_FLIGHT = 16;

/** A rest that ended so long ago, in ms, is forgotten. */
const BACKOFF_TTL_MS = 60_000;

interface Backoff {
  readonly incarnation: number;
  untilMs: number;
  /** In flight at once, from the end of the rest on. */
  maxInFlight: number;
}

/** Makes a watch that knows of no rest. */
export function createBackoffWatch(clock: Clock): BackoffWatch {
  const backoffs = new Map<string, Backoff>();

  function tryGet({ id, incarnation }: UpstreamLife): Backoff | undefined {
    const backoff = backoffs.get(id);
    return backoff?.incarnation === incarnation ? backoff : undefined;
  }

  function getRemainingMs(life: UpstreamLife): number {
    const untilMs = tryGet(life)?.untilMs ?? -Infinity;
    return Math.max(0, untilMs - clock.monotonicMs());
  }

  function evictExpired(nowMs: number): void {
    for (const [id, { untilMs }] of backoffs) {
      if (nowMs - untilMs > BACKOFF_TTL_MS) backoffs.delete(id);
    }
  }

  return {
    record(life, backoffMs) {
      const nowMs = clock.monotonicMs();
      evictExpired(nowMs);
      const untilMs = nowMs + backoffMs;
      // Of several rests the one that ends last holds.
      const earlierUntilMs = tryGet(life)?.untilMs ?? -Infinity;
      backoffs.set(life.id, {
        incarnation: life.incarnation,
        untilMs: Math.max(untilMs, earlierUntilMs),
        maxInFlight: INITIAL_IN_FLIGHT,
      });
    },
    getRemainingMs,
    recordSuccess(life) {
      const backoff = tryGet(life);
      // What was sent before the rest may still be answered in it.
      if (backoff === undefined || getRemainingMs(life) > 0) return;
      backoff.maxInFlight *= GROWTH_FACTOR;
      if (backoff.maxInFlight > MAX_IN_FLIGHT) backoffs.delete(life.id);
    },
    filterAvailable(upstreams, getInFlight) {
      if (backoffs.size === 0) return upstreams;
      const available = upstreams.filter((each) => getRemainingMs(each) === 0);
      const belowLimit = available.filter((each) =>
        getInFlight(each.id) < (tryGet(each)?.maxInFlight ?? Infinity)
      );
      return belowLimit.length > 0 ? belowLimit : available;
    },
  };
}
