/**
 * What callers got of the prompts that were played.
 *
 * @module
 */

/** One prompt, after the play. */
export interface SimulatedPrompt {
  readonly team: string;
  readonly ownTokens: number;
  readonly isServed: boolean;
  /** First event and all pauses within their targets. */
  readonly isOnTime: boolean;
}

/** What callers got, as shares of the requests that they meant. */
export interface PromptResult {
  /** First event and all pauses on time, refusals before it counted. */
  readonly onTime: number;
  readonly served: number;
  /** Of the teams that don't flood, on time. */
  readonly calmOnTime: number;
  /** Of the prompts that take longest to read, served. */
  readonly longServed: number;
}

/** Name of the team that floods. */
export const OVERLOADING_TEAM = "flood";

/** A prompt with more tokens of its own counts as long. */
const LONG_TOKENS = 13_000;

/** Means over results, figure by figure. */
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

/** Shares over all that was meant. */
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
