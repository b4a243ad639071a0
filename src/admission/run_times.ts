/**
 * How long the runs of a service take, from its slot on.
 *
 * Load: long and short requests mixed at saturation. Harm prevented: a request
 * waits until just before its deadline, gets a slot and ends too late; the
 * engine has worked for nobody. Costs are known only at the end and hints may
 * be wrong by ten, so the spread of past runs is the best guess.
 *
 * @module
 */

/** One run, in ms. */
export interface RunTime {
  readonly firstByteMs: number;
  /** From the slot to the end of the answer. */
  readonly runMs: number;
}

/** The run times of one service. */
export interface RunTimes {
  record(run: RunTime): void;
  /** Least time to the first byte of late, in ms; no run is quicker. */
  getMinFirstByteMs(): number;
  /** Nine in ten runs take no longer, in ms; 0 while unknown. */
  getP90RunMs(): number;
}

/** The least first-byte time rises by this for each run that is slower. */
const MIN_RISE_FACTOR = 1.01;

/** Weight of the newest run: about the last hundred count. */
const EWMA_WEIGHT = 0.01;

/** Standard deviations above the mean under which nine in ten values lie. */
const P90_Z_SCORE = 1.28;

/** Makes run times that know nothing. */
export function createRunTimes(): RunTimes {
  let minMs = Infinity;
  let runs = 0;
  // Of the logarithm: run times differ by factors.
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
