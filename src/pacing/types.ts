/**
 * What pacing has learned of a service's upstreams, in a form that adds up over
 * hosts.
 *
 * @module
 */

/** Counts fade, so that each stands for the last seconds. */
export interface PacingStats {
  /** Hosts that it adds up. */
  readonly hosts: number;
  /**
   * Sum of their limits by pauses, in tokens, each times the answers that it was
   * found from: a host without answers says nothing of the limit.
   */
  readonly limitTokens: number;
  /** Answers, and those that paused past their target. */
  readonly answers: number;
  readonly lateAnswers: number;
  readonly firstEvents: FirstEventSums;
}

/** Sums over first events: tokens read before each, and its time in ms. */
export interface FirstEventSums {
  readonly count: number;
  readonly tokens: number;
  readonly ms: number;
  readonly tokensSquared: number;
  readonly tokensMs: number;
}

/** Sums over no first event. */
export const EMPTY_FIRST_EVENT_SUMS: FirstEventSums = {
  count: 0,
  tokens: 0,
  ms: 0,
  tokensSquared: 0,
  tokensMs: 0,
};

/** Evidence of no host. */
export const EMPTY_PACING_STATS: PacingStats = {
  hosts: 0,
  limitTokens: 0,
  answers: 0,
  lateAnswers: 0,
  firstEvents: EMPTY_FIRST_EVENT_SUMS,
};

/** The first with the second added, or with a sign of -1 taken out. */
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

/** The same for sums over first events. */
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
