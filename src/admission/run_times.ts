/**
 * Estimates how long the runs of a service take, measured from the slot.
 *
 * Load: a mix of long and short requests at saturation. Harm prevented: a
 * request waits until shortly before its deadline, gets a slot and ends too
 * late, so that the engine's work is wasted. The cost of a request is known
 * only at its end, and callers' hints may be wrong by a factor of ten, so the
 * distribution of past runs is the best estimate.
 *
 * @module
 */

/** Times of one run, from its slot, in ms. */
export interface RunTime {
  readonly firstByteMs: number;
  /** Time from the slot to the end of the answer. */
  readonly runMs: number;
}

/** Statistics of the run times of one service. */
export interface RunTimes {
  record(run: RunTime): void;
  /** Least recent time to the first byte, in ms; 0 while unknown. */
  getMinFirstByteMs(): number;
  /** Estimated 90th percentile of the run time, in ms; 0 while unknown. */
  getP90RunMs(): number;
}

/**
 * Factor by which the least time to the first byte rises with each slower run,
 * so that it follows a service that becomes slower.
 */
const MIN_RISE_FACTOR = 1.01;

/**
 * Weight of the newest run in the moving averages: about the last 100 runs
 * count.
 */
const EWMA_WEIGHT = 0.01;

/**
 * 90% of normally distributed values lie below mean + 1.28 standard deviations.
 */
const P90_Z_SCORE = 1.28;

/** Creates statistics without any runs. */
export function createRunTimes(): RunTimes {
  let minMs = Infinity;
  let runs = 0;
  // Mean and variance of the logarithms of the run times, because run times
  // differ by factors.
  let logMean = 0;
  let logVariance = 0;

  return {
    record({ firstByteMs, runMs }) {
      minMs = Math.min(minMs * MIN_RISE_FACTOR, firstByteMs);
      runs++;
      const weight = Math.max(EWMA_WEIGHT, 1 / runs);
      const difference = Math.log(Math.max(1, runMs)) - logMean;
      logMean += weight * difference;
      logVariance = (1 - weight) * (logVariance + weight * difference ** 2);
    },
    getMinFirstByteMs: () => runs === 0 ? 0 : minMs,
    getP90RunMs: () =>
      runs === 0 ? 0 : Math.exp(logMean + P90_Z_SCORE * Math.sqrt(logVariance)),
  };
}
