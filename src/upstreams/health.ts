/**
 * Upstreams that refused a connection a moment ago.
 *
 * Load: one upstream is down while many requests wait. Harm prevented: its slots
 * are always free, so it draws request after request, and each fails there.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";

/** After a refused connection the upstream is avoided for so long, in ms. */
export const DOWN_PERIOD_MS = 1_000;

/**
 * A slot of an upstream that is down is held for so long before it goes back,
 * in ms: given back at once it would be granted again at once, over and over.
 */
export const DOWN_SLOT_HOLD_MS = 100;

/** What this host saw of the upstreams' connections. */
export interface UpstreamHealth {
  markDown(upstream: string): void;
  isDown(upstream: string): boolean;
}

/** Makes health that knows of no trouble. */
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
