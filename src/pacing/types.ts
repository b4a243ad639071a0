/**
 * The statistics of pacing for a service, in a form that can be added up over
 * hosts.
 *
 * @module
 */

/**
 * Statistics of one or more hosts. Counts decay exponentially, so that they
 * describe the last seconds.
 */
export interface PacingStats {
  /** Number of hosts included. */
  readonly hosts: number;
  /**
   * Sum of the hosts' limits by pauses, in tokens, each weighted by the number
   * of responses behind it: the limit of a host without responses carries no
   * information.
   */
  readonly limitTokens: number;
  /**
   * Number of responses; `lateAnswers` of them paused for longer than their
   * target.
   */
  readonly answers: number;
  readonly lateAnswers: number;
  readonly firstEvents: FirstEventSums;
}

/**
 * Sums over first events, from which a regression line is computed: the tokens
 * prefilled before each one, and the time to it in ms.
 */
export interface FirstEventSums {
  readonly count: number;
  readonly tokens: number;
  readonly ms: number;
  readonly tokensSquared: number;
  readonly tokensMs: number;
}

/** The sums over no first events. */
export const EMPTY_FIRST_EVENT_SUMS: FirstEventSums = {
  count: 0,
  tokens: 0,
  ms: 0,
  tokensSquared: 0,
  tokensMs: 0,
};

/** The statistics of no hosts. */
export const EMPTY_PACING_STATS: PacingStats = {
  hosts: 0,
  limitTokens: 0,
  answers: 0,
  lateAnswers: 0,
  firstEvents: EMPTY_FIRST_EVENT_SUMS,
};

/**
 * Adds two statistics; with a sign of -1, subtracts the second from the first.
 */
export function addPacingStats(
  a: PacingStats,
  b: PacingStats,
  sign: 1 | -1 = 1,
): PacingStats {
  return {
    hosts: a.hosts + sign * b.hosts,
    limitTokens: a.limitTokens + sign * b.limitTokens,
    answers: a.answers + sign * b.answers,
    lateAnswers: a.lateAnswers + sign * b.lateAnswers,
    firstEvents: addFirstEventSums(a.firstEvents, b.firstEvents, sign),
  };
}

/**
 * Adds two sums over first events; with a sign of -1, subtracts the second from
 * the first.
 */
export function addFirstEventSums(
  a: FirstEventSums,
  b: FirstEventSums,
  sign: 1 | -1 = 1,
): FirstEventSums {
  return {
    count: a.count + sign * b.count,
    tokens: a.tokens + sign * b.tokens,
    ms: a.ms + sign * b.ms,
    tokensSquared: a.tokensSquared + sign * b.tokensSquared,
    tokensMs: a.tokensMs + sign * b.tokensMs,
  };
}
