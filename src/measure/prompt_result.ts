/**
 * What callers got of the prompts that were played.
 *
 * @module
 */

/** One prompt, after the play. */
export interface PlayedPrompt {
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
export const FLOOD = "flood";

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
export function summarise(meant: readonly PlayedPrompt[]): PromptResult {
  const getShare = (
    all: readonly PlayedPrompt[],
    has: (prompt: PlayedPrompt) => boolean,
  ) => all.filter(has).length / Math.max(1, all.length);
  const calm = meant.filter((each) => each.team !== FLOOD);
  const long = meant.filter((each) => each.ownTokens >= LONG_TOKENS);
  return {
    onTime: getShare(meant, (each) => each.isOnTime),
    served: getShare(meant, (each) => each.isServed),
    calmOnTime: getShare(calm, (each) => each.isOnTime),
    longServed: getShare(long, (each) => each.isServed),
  };
}
