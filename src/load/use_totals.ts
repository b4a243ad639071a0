/**
 * What is used of one upstream, as sums that grow and shrink.
 *
 * @module
 */

import type { UpstreamUse } from "./types.ts";

/** The use of an upstream, whichever it is. */
export type UseTotals = {
  -readonly [Key in Exclude<keyof UpstreamUse, "upstream">]: UpstreamUse[Key];
};

/** No use. */
export function createUseTotals(): UseTotals {
  return { inFlight: 0, readingTokens: 0, underserved: 0 };
}

/** Adds the second to the first, or with a sign of -1 takes it out. */
export function addUse(
  use: UseTotals,
  other: Readonly<UseTotals>,
  sign: 1 | -1,
): void {
  use.inFlight += sign * other.inFlight;
  use.readingTokens += sign * other.readingTokens;
  use.underserved += sign * other.underserved;
}

/** Whether anything of it is above zero. */
export function isUsed(use: Readonly<UseTotals>): boolean {
  return use.inFlight > 0 || use.readingTokens > 0 || use.underserved > 0;
}
