/**
 * The statistics of pacing for one upstream, in a form that can be added up
 * over hosts.
 *
 * @module
 */

/**
 * Statistics of one or more hosts about one upstream. Counts and times decay
 * exponentially, so that they describe the last seconds.
 */
export interface UpstreamStats {
  /**
   * Sum of the hosts' limits by pauses, in tokens, each weighted by the number
   * of responses behind it.
   */
  readonly limitTokens: number;
  /**
   * Number of responses; `lateAnswers` of them paused for longer than their
   * target.
   */
  readonly answers: number;
  readonly lateAnswers: number;
  /** Number of first events. */
  readonly firstEvents: number;
  /** Sum of the times to them that the service's regression predicted, in ms. */
  readonly predictedMs: number;
  /** Sum of the times that they took, in ms. */
  readonly tookMs: number;
  /**
   * Sum of the hosts' weight steps (see `weight_step.ts`), each weighted by the
   * number of first events behind it.
   */
  readonly weightSteps: number;
}

/** The statistics of no hosts. */
export const EMPTY_UPSTREAM_STATS: UpstreamStats = {
  limitTokens: 0,
  answers: 0,
  lateAnswers: 0,
  firstEvents: 0,
  predictedMs: 0,
  tookMs: 0,
  weightSteps: 0,
};

/**
 * Adds two statistics; with a sign of -1, subtracts the second from the first.
 */
export function addUpstreamStats(
  a: UpstreamStats,
  b: UpstreamStats,
  sign: 1 | -1 = 1,
): UpstreamStats {
  return {
    limitTokens: a.limitTokens + sign * b.limitTokens,
    answers: a.answers + sign * b.answers,
    lateAnswers: a.lateAnswers + sign * b.lateAnswers,
    firstEvents: a.firstEvents + sign * b.firstEvents,
    predictedMs: a.predictedMs + sign * b.predictedMs,
    tookMs: a.tookMs + sign * b.tookMs,
    weightSteps: a.weightSteps + sign * b.weightSteps,
  };
}

/**
 * Below this decayed number of responses and first events, an upstream counts
 * as one without samples. Also hides the rounding errors of a difference.
 */
const MIN_SAMPLES = 0.1;

/** Whether the statistics contain samples. */
export function hasSamples(stats: UpstreamStats): boolean {
  return stats.answers + stats.firstEvents >= MIN_SAMPLES;
}
