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
const FIRST_TOKENS = 14_000;

/** Never less: two usual prompts of 2,800 tokens; a larger one goes alone. */
export const MIN_TOKENS = 5_600;

/** Between two changes, in ms: a change shows in the pauses of a few events. */
const CHANGE_MS = 500;

/**
 * Over this share of late answers the limit narrows: below it more answers are
 * lost by waiting than by pausing.
 */
const NARROW_SHARE = 0.05;

/** Under this share it widens; between the two it stays. */
const WIDEN_SHARE = 0.025;

/** At fewer answers than so many, faded, a single one would decide. */
const MIN_ANSWERS = 3;

/** Narrowing must be faster than widening, for late answers are lost at once. */
const NARROW_FACTOR = 0.85;
const WIDEN_FACTOR = 1.15;

/** Counts fade to a half in so long, in ms. */
const HALF_LIFE_MS = 2_000;

/** What is left of the counts that a narrowing has answered. */
const ANSWERED_FACTOR = 0.5;

/** Makes a limit that has seen nothing. */
export function createPauseLimit(host: PauseLimitHost): PauseLimit {
  let tokens = FIRST_TOKENS;
  let changedAtMs = host.nowMs();
  let fadedAtMs = host.nowMs();
  let late = 0;
  let all = 0;

  function scale(factor: number): void {
    late *= factor;
    all *= factor;
  }

  function fade(): void {
    scale(0.5 ** ((host.nowMs() - fadedAtMs) / HALF_LIFE_MS));
    fadedAtMs = host.nowMs();
  }

  const getAnswers = () => all + host.getRemoteStats().answers;

  function getLateShare(): number {
    const answers = getAnswers();
    const lateAnswers = late + host.getRemoteStats().lateAnswers;
    return answers <= 0 ? 0 : lateAnswers / answers;
  }

  /** Hosts that learned at different times would keep different limits. */
  function approachOthers(): void {
    const { answers, limitTokens } = host.getRemoteStats();
    if (answers > MIN_ANSWERS) tokens = (tokens + limitTokens / answers) / 2;
  }

  function change(ceilingTokens: number): void {
    fade();
    approachOthers();
    if (getAnswers() > MIN_ANSWERS) {
      const share = getLateShare();
      if (share > NARROW_SHARE) {
        tokens *= NARROW_FACTOR;
        scale(ANSWERED_FACTOR);
      } else if (share < WIDEN_SHARE) tokens *= WIDEN_FACTOR;
    }
    tokens = Math.max(MIN_TOKENS, Math.min(tokens, ceilingTokens));
  }

  return {
    getLateShare,
    addSample(isLate) {
      fade();
      all++;
      if (isLate) late++;
    },
    getLimitTokens(ceilingTokens) {
      if (host.nowMs() - changedAtMs >= CHANGE_MS) {
        changedAtMs = host.nowMs();
        change(ceilingTokens);
      }
      return tokens;
    },
    getLocalStats() {
      fade();
      return {
        hosts: 1,
        limitTokens: tokens * all,
        answers: all,
        lateAnswers: late,
      };
    },
  };
}
