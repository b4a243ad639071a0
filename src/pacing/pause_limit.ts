/**
 * How much may be read at an upstream beside answers whose pauses must stay on
 * time: widened while they do, narrowed when too many don't.
 *
 * Load: engines read prompts between two steps of their answers; how much in a
 * step is a matter of the engine, from 1,024 tokens of one prompt to 4,096 of
 * each. Harm prevented: with a limit that is right for one kind of engine a
 * fifth of the answers of another paused past their target, and with one that
 * is right for that, half of the reading of the first was left undone.
 *
 * @module
 */

import type { PacingStats } from "./types.ts";

/** The limit, as it is now. */
export interface PauseLimit {
  /** An answer has paused past its target, or gone on for a while without. */
  addSample(isLate: boolean): void;
  /** Tokens that may be read at an upstream at once; at most the ceiling. */
  getLimitTokens(ceilingTokens: number): number;
  /** Share of the answers of the last seconds that paused past their target. */
  getLateShare(): number;
  /** What this host alone has seen, and its limit. */
  getLocalStats(): PauseStats;
}

/** The part of the evidence that pauses give. */
export type PauseStats = Omit<PacingStats, "firstEvents">;

/** What the limit needs of the process. */
export interface PauseLimitHost {
  nowMs(): number;
  /** What the other hosts have seen, and their limits. */
  getRemoteStats(): PauseStats;
}

/**
 * Before anything is known: one long prompt. With twice as much, a third of the
 * answers beside it paused too long on the engines that read most in a step.
 */
const INITIAL_TOKENS = 14_000;

/** Never less: two usual prompts of 2,800 tokens; a larger one goes alone. */
export const MIN_TOKENS = 5_600;

/** Between two changes, in ms: a change shows in the pauses of a few events. */
const ADJUST_PERIOD_MS = 500;

/**
 * Over this share of late answers the limit narrows: below it more answers are
 * lost by waiting than by pausing.
 */
const DECREASE_ABOVE_SHARE = 0.05;

/** Under this share it widens; between the two it stays. */
const INCREASE_BELOW_SHARE = 0.025;

/** At fewer answers than so many, faded, a single one would decide. */
const MIN_ANSWERS = 3;

/** Narrowing must be faster than widening, for late answers are lost at once. */
const DECREASE_FACTOR = 0.85;
const INCREASE_FACTOR = 1.15;

/** Counts fade to a half in so long, in ms. */
const HALF_LIFE_MS = 2_000;

/** What is left of the counts that a narrowing has answered. */
const COUNTS_AFTER_DECREASE_FACTOR = 0.5;

/** Makes a limit that has seen nothing. */
export function createPauseLimit(host: PauseLimitHost): PauseLimit {
  let tokens = INITIAL_TOKENS;
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

  /** Hosts that learned at different times would keep different limits. */
  function averageWithOtherHosts(): void {
    const { answers, limitTokens } = host.getRemoteStats();
    if (answers > MIN_ANSWERS) tokens = (tokens + limitTokens / answers) / 2;
  }

  function adjust(ceilingTokens: number): void {
    decay();
    averageWithOtherHosts();
    if (getTotalAnswers() > MIN_ANSWERS) {
      const share = getLateShare();
      if (share > DECREASE_ABOVE_SHARE) {
        tokens *= DECREASE_FACTOR;
        scale(COUNTS_AFTER_DECREASE_FACTOR);
      } else if (share < INCREASE_BELOW_SHARE) tokens *= INCREASE_FACTOR;
    }
    tokens = Math.max(MIN_TOKENS, Math.min(tokens, ceilingTokens));
  }

  return {
    getLateShare,
    addSample(isLate) {
      decay();
      localAnswers++;
      if (isLate) localLateAnswers++;
    },
    getLimitTokens(ceilingTokens) {
      if (host.nowMs() - adjustedAtMs >= ADJUST_PERIOD_MS) {
        adjustedAtMs = host.nowMs();
        adjust(ceilingTokens);
      }
      return tokens;
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
