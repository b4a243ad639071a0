/**
 * Limits the tokens that are prefilled at an upstream beside running responses,
 * whose pauses between events must stay within their target. The limit
 * increases while they do, and decreases when too many do not.
 *
 * Load: engines prefill prompts between two decoding steps of their running
 * responses. How much they prefill in one step depends on the engine: from
 * 1,024 tokens of one prompt to 4,096 tokens of each prompt.
 *
 * Failure prevented: no fixed limit suits two kinds of engines. With the best
 * limit for kind A, a fifth of the responses of kind B pause for longer than
 * their target; with the best limit for kind B, half of the prefill capacity of
 * kind A is unused.
 *
 * @module
 */

import type { PacingStats } from "./types.ts";

/** A limit that adapts to the recorded pauses. */
export interface PauseLimit {
  /**
   * Adds a sample: a response that paused for longer than its target
   * (`isLate`), or that ran for a sample period without such a pause.
   */
  addSample(isLate: boolean): void;
  /**
   * Returns the tokens that may be prefilled at an upstream at once, at most
   * `ceilingTokens`.
   */
  getLimitTokens(ceilingTokens: number): number;
  /**
   * Returns the share of the responses of the last seconds, over all hosts,
   * that paused for longer than their target.
   */
  getLateShare(): number;
  /** Returns the statistics and the limit of this host. */
  getLocalStats(): PauseStats;
}

/** The part of the statistics that concerns pauses. */
export type PauseStats = Omit<PacingStats, "firstEvents">;

/** Dependencies of the limit. */
export interface PauseLimitHost {
  nowMs(): number;
  /** Returns the statistics and limits of all other hosts. */
  getRemoteStats(): Omit<PauseStats, "hosts">;
}

/** Settings that differ between a service and one of its upstreams. */
export interface PauseLimitOptions {
  readonly initialTokens: number;
  /** Time between two adjustments, in ms. */
  readonly adjustPeriodMs: number;
  /**
   * Whether the limit stays at the lowest ceiling until it increases by itself.
   * If not, it is back as soon as the ceiling is. An upstream with few samples
   * of pauses would otherwise keep the limit of one slow moment.
   */
  readonly keepsCeiling: boolean;
}

/**
 * Initial limit, in tokens: one long prompt. With twice as much, a third of the
 * responses beside it paused too long on the engines that prefill most in one
 * step.
 */
const INITIAL_TOKENS = 14_000;

/**
 * Lower bound of the limit: two typical prompts of 2,800 tokens. A larger
 * prompt is prefilled alone.
 */
export const MIN_TOKENS = 5_600;

/**
 * Time between two adjustments, in ms: an adjustment shows in the pauses of a
 * few events.
 */
const ADJUST_PERIOD_MS = 500;

/**
 * The limit decreases above this share of late responses. Below it, more
 * responses are lost by waiting in the queue than by pausing.
 */
const DECREASE_ABOVE_SHARE = 0.05;

/**
 * The limit increases below this share, and is unchanged between the two
 * shares.
 */
const INCREASE_BELOW_SHARE = 0.025;

/**
 * An adjustment needs more than this number of responses, after decay. With
 * fewer, a single response would decide.
 */
const MIN_ANSWERS = 3;

/**
 * Decreases are larger than increases, because a late response is lost at once.
 */
const DECREASE_FACTOR = 0.85;
const INCREASE_FACTOR = 1.15;

/** Half-life of the counts, in ms. */
const HALF_LIFE_MS = 2_000;

/**
 * Factor applied to the counts after a decrease, since they describe the
 * previous limit.
 */
const COUNTS_AFTER_DECREASE_FACTOR = 0.5;

const defaultPauseLimitOptions: PauseLimitOptions = {
  initialTokens: INITIAL_TOKENS,
  adjustPeriodMs: ADJUST_PERIOD_MS,
  keepsCeiling: true,
};

/** Creates a limit without samples. */
export function createPauseLimit(
  host: PauseLimitHost,
  { initialTokens, adjustPeriodMs, keepsCeiling }: PauseLimitOptions =
    defaultPauseLimitOptions,
): PauseLimit {
  let tokens = initialTokens;
  /** Whether the limit is still the initial one. */
  let isInitial = true;
  let adjustedAtMs = host.nowMs();
  let decayedAtMs = host.nowMs();
  let localLateAnswers = 0;
  let localAnswers = 0;

  function scale(factor: number): void {
    localLateAnswers *= factor;
    localAnswers *= factor;
  }

  function decay(): void {
    scale(0.5 ** ((host.nowMs() - decayedAtMs) / HALF_LIFE_MS));
    decayedAtMs = host.nowMs();
  }

  const getTotalAnswers = () => localAnswers + host.getRemoteStats().answers;

  function getLateShare(): number {
    const answers = getTotalAnswers();
    const lateAnswers = localLateAnswers + host.getRemoteStats().lateAnswers;
    return answers <= 0 ? 0 : lateAnswers / answers;
  }

  /**
   * Until it has learned, a host takes the limit that the others have learned. A
   * restarted one would otherwise fill upstreams that the others spare.
   */
  function takeLimitOfOtherHosts(): void {
    const { answers, limitTokens } = host.getRemoteStats();
    if (answers <= MIN_ANSWERS) return;
    tokens = limitTokens / answers;
    isInitial = false;
  }

  /**
   * Moves the limit halfway to the mean of the other hosts' limits. Without
   * this, hosts that learned at different times would keep different limits.
   */
  function averageWithOtherHosts(): void {
    const { answers, limitTokens } = host.getRemoteStats();
    if (answers > MIN_ANSWERS) tokens = (tokens + limitTokens / answers) / 2;
  }

  function increase(ceilingTokens: number): void {
    const increased = Math.min(tokens * INCREASE_FACTOR, ceilingTokens);
    tokens = Math.max(tokens, increased);
  }

  function decrease(ceilingTokens: number): void {
    const effectiveTokens = keepsCeiling
      ? tokens
      : Math.min(tokens, ceilingTokens);
    tokens = effectiveTokens * DECREASE_FACTOR;
    scale(COUNTS_AFTER_DECREASE_FACTOR);
  }

  function adjust(ceilingTokens: number): void {
    decay();
    averageWithOtherHosts();
    if (getTotalAnswers() > MIN_ANSWERS) {
      isInitial = false;
      const share = getLateShare();
      if (share > DECREASE_ABOVE_SHARE) decrease(ceilingTokens);
      else if (share < INCREASE_BELOW_SHARE) increase(ceilingTokens);
    }
    if (keepsCeiling) tokens = Math.min(tokens, ceilingTokens);
    tokens = Math.max(MIN_TOKENS, tokens);
  }

  return {
    getLateShare,
    addSample(isLate) {
      decay();
      localAnswers++;
      if (isLate) localLateAnswers++;
    },
    getLimitTokens(ceilingTokens) {
      if (isInitial) takeLimitOfOtherHosts();
      if (host.nowMs() - adjustedAtMs >= adjustPeriodMs) {
        adjustedAtMs = host.nowMs();
        adjust(ceilingTokens);
      }
      if (keepsCeiling) return tokens;
      return Math.max(MIN_TOKENS, Math.min(tokens, ceilingTokens));
    },
    getLocalStats() {
      decay();
      return {
        hosts: 1,
        limitTokens: tokens * localAnswers,
        answers: localAnswers,
        lateAnswers: localLateAnswers,
      };
    },
  };
}
