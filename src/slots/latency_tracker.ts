/**
 * Tells whether an upstream is slower than it is on its own, from the times of
 * its own uses.
 *
 * Load: long and short requests mixed, on an upstream that slows down as a
 * whole. Harm prevented: one long prompt taken for a slow upstream, or a slow
 * upstream for a run of long prompts. So averages of the logarithm are compared
 * and not single times: they move by ratios, and one far value moves them
 * little.
 *
 * @module
 */

/** The newest value's weight in the average of late: about the last 16 uses. */
const RECENT_WEIGHT = 1 / 16;

/** And in the long average: about the last 256 uses. */
const LONG_TERM_WEIGHT = 1 / 256;

/**
 * Uses before anything is judged; fewer say too little about a mix, the more so
 * since the short ones of a first round end first.
 */
const MIN_VALUES = 32;

/**
 * The base rises by this for each use while the long average is above it, so
 * that load which grows by small steps does not pass for the normal.
 */
const BASELINE_DRIFT = 0.001;

/** The pace of one upstream. */
export interface LatencyTracker {
  observe(valueMs: number): void;
  /** How many times slower than its base it has been of late; 1 is normal. */
  getSlowdown(): number;
  /** The pace of late, in ms. */
  getRecentMs(): number;
  /** Takes the pace of late for the normal one. */
  resetBaseline(): void;
}

/** Makes a watch that knows nothing. */
export function createLatencyTracker(): LatencyTracker {
  let count = 0;
  let recent = 0;
  let longTerm = 0;
  let baseline = Infinity;

  return {
    observe(valueMs) {
      // Below a millisecond the clock's grain would look like a ratio.
      const value = Math.log(Math.max(1, valueMs));
      count++;
      recent += Math.max(RECENT_WEIGHT, 1 / count) * (value - recent);
      longTerm += Math.max(LONG_TERM_WEIGHT, 1 / count) * (value - longTerm);
      baseline = count <= MIN_VALUES
        ? longTerm
        : Math.min(baseline + BASELINE_DRIFT, longTerm);
    },
    getSlowdown: () => count < MIN_VALUES ? 1 : Math.exp(recent - baseline),
    getRecentMs: () => Math.exp(recent),
    resetBaseline() {
      longTerm = recent;
      baseline = recent;
    },
  };
}
