/**
 * Results of a prompt simulation, as its callers see them.
 *
 * @module
 */

/** A prompt after the simulation. */
export interface SimulatedPrompt {
  readonly team: string;
  /** Tokens of the unshared suffix. */
  readonly ownTokens: number;
  readonly isServed: boolean;
  /**
   * Whether the first event and all pauses between events met their targets.
   */
  readonly isOnTime: boolean;
}

/** Shares of prompts, retries of one prompt counted as one. */
export interface PromptResult {
  /** Share on time, where the time of refused attempts counts too. */
  readonly onTime: number;
  /** Share that was answered. */
  readonly served: number;
  /**
   * Share on time among the prompts of teams that do not overload the fleet.
   */
  readonly calmOnTime: number;
  /** Share answered among the longest prompts. */
  readonly longServed: number;
}

/** Id of the team that sends far more than its share. */
export const OVERLOADING_TEAM = "flood";

/** Tokens of the unshared suffix from which a prompt is one of the longest. */
const LONG_TOKENS = 13_000;

/** Returns the mean of each figure over the results. */
export function getMeans(results: readonly PromptResult[]): PromptResult {
  const getMean = (name: keyof PromptResult) =>
    results.reduce((sum, each) => sum + each[name], 0) / results.length;
  return {
    onTime: getMean("onTime"),
    served: getMean("served"),
    calmOnTime: getMean("calmOnTime"),
    longServed: getMean("longServed"),
  };
}

/** Computes the shares over all prompts. */
export function summarise(prompts: readonly SimulatedPrompt[]): PromptResult {
  const getShare = (
    all: readonly SimulatedPrompt[],
    has: (prompt: SimulatedPrompt) => boolean,
  ) => all.filter(has).length / Math.max(1, all.length);
  const otherTeams = prompts.filter((each) => each.team !== OVERLOADING_TEAM);
  const longPrompts = prompts.filter((each) => each.ownTokens >= LONG_TOKENS);
  return {
    onTime: getShare(prompts, (each) => each.isOnTime),
    served: getShare(prompts, (each) => each.isServed),
    calmOnTime: getShare(otherTeams, (each) => each.isOnTime),
    longServed: getShare(longPrompts, (each) => each.isServed),
  };
}
