/**
 * The speed of one upstream relative to the other upstreams of its service, by
 * the times to its first events.
 *
 * Load: upstreams of one service that differ in speed by a factor of two and
 * more, and that slow down for less than a second at a time.
 *
 * Failure prevented: with one speed for all, slow upstreams get more tokens than
 * they can prefill in time, and fast ones are idle for a part of the time.
 *
 * @module
 */

import { MAX_SAMPLE_MS } from "./first_event_model.ts";
import type { UpstreamStats } from "./upstream_stats.ts";

/** The part of the statistics that concerns first events. */
export type SpeedStats = Pick<
  UpstreamStats,
  "firstEvents" | "predictedMs" | "tookMs"
>;

/** Sums over the first events of one upstream at this host. */
export interface SpeedSamples {
  /**
   * Adds a first event that took `tookMs`, where the service's regression
   * predicted `predictedMs`.
   */
  add(predictedMs: number, tookMs: number): void;
  get(): SpeedStats;
}

/**
 * Half-life of the sums, in ms: much longer than a temporary slowdown, which
 * ends before it is known.
 */
const HALF_LIFE_MS = 10_000;

/**
 * Prior of the speed, in ms: equals a first event that took 1,000 ms, as
 * predicted. It does not decay, so that the speed of an upstream with few
 * samples stays near 1.
 */
const PRIOR_MS = 1_000;

/** Creates the sums over no first events. */
export function createSpeedSamples(nowMs: () => number): SpeedSamples {
  let decayedAtMs = nowMs();
  let firstEvents = 0;
  let predictedMs = 0;
  let tookMs = 0;

  function decay(): void {
    const factor = 0.5 ** ((nowMs() - decayedAtMs) / HALF_LIFE_MS);
    decayedAtMs = nowMs();
    firstEvents *= factor;
    predictedMs *= factor;
    tookMs *= factor;
  }

  return {
    add(samplePredictedMs, sampleTookMs) {
      decay();
      firstEvents++;
      predictedMs += Math.min(samplePredictedMs, MAX_SAMPLE_MS);
      tookMs += Math.min(sampleTookMs, MAX_SAMPLE_MS);
    },
    get() {
      decay();
      return { firstEvents, predictedMs, tookMs };
    },
  };
}

/** Returns the speed relative to the mean of the service; 1 without samples. */
export function getRelativeSpeed({ predictedMs, tookMs }: SpeedStats): number {
  return (predictedMs + PRIOR_MS) / (tookMs + PRIOR_MS);
}
