/**
 * Detects that an upstream has become slower than its own baseline, from the
 * latencies of its requests.
 *
 * Load: long and short requests are mixed, on an upstream that slows down as a
 * whole. Failure prevented: one long prompt is taken for a slow upstream, or a
 * slow upstream for a series of long prompts. Averages of the logarithm are
 * therefore compared, not single latencies: they express ratios, and a single
 * outlier moves them little.
 *
 * @module
 */

/**
 * Weight of the newest value in the recent average: about the last 16 requests.
 */
const RECENT_WEIGHT = 1 / 16;

/**
 * Weight of the newest value in the long-term average: about the last 256
 * requests.
 */
const LONG_TERM_WEIGHT = 1 / 256;

/**
 * Number of requests before a slowdown is reported. Fewer say too little about
 * a mix of prompts, particularly since the short requests of the first batch
 * end first.
 */
const MIN_VALUES = 32;

/**
 * The baseline rises by this for each request while the long-term average is
 * above it, so that load that grows in small steps is not taken for normal.
 */
const BASELINE_DRIFT = 0.001;

/** Tracks one kind of latency of one upstream. */
export interface LatencyTracker {
  observe(valueMs: number): void;
  /**
   * How many times slower than its baseline the upstream has recently been; 1
   * is normal.
   */
  getSlowdown(): number;
  /** The recent average latency, in ms. */
  getRecentMs(): number;
  /** Makes the recent average the baseline. */
  resetBaseline(): void;
}

/** Creates a tracker without any values. */
export function createLatencyTracker(): LatencyTracker {
  let count = 0;
  let recent = 0;
  let longTerm = 0;
  let baseline = Infinity;

  return {
    observe(valueMs) {
      // Below 1 ms, the resolution of the clock would cause large ratios.
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
