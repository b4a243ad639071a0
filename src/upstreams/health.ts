/**
 * Remembers upstreams that have just refused a connection.
 *
 * Load: one upstream is down while many requests wait.
 *
 * Failure prevented: its slots are always free, so that it attracts request
 * after request, each of which fails there.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";

/** Time for which an upstream is avoided after a refused connection, in ms. */
export const DOWN_PERIOD_MS = 1_000;

/**
 * Time for which a slot of an upstream that is down is held before it is
 * returned, in ms. If returned at once, it would be granted again at once, over
 * and over.
 */
export const DOWN_SLOT_HOLD_MS = 100;

/** Tracks which upstreams are down, as seen by this host. */
export interface UpstreamHealth {
  markDown(upstream: string): void;
  isDown(upstream: string): boolean;
}

/** Creates a tracker for which no upstream is down. */
export function createUpstreamHealth(clock: Clock): UpstreamHealth {
  const downUntilMs = new Map<string, number>();
  return {
    markDown(upstream) {
      downUntilMs.set(upstream, clock.monotonicMs() + DOWN_PERIOD_MS);
    },
    isDown(upstream) {
      const untilMs = downUntilMs.get(upstream);
      if (untilMs === undefined) return false;
      if (clock.monotonicMs() < untilMs) return true;
      downUntilMs.delete(upstream);
      return false;
    },
  };
}
