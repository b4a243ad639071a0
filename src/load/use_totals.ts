/**
 * Totals of the use of one upstream, to which reports are added and subtracted.
 *
 * @module
 */

import type { Mutable } from "../core/mod.ts";
import { NOTHING_WAITING, type UpstreamUse } from "./types.ts";

/** The use of an upstream, without its id. */
export type UseTotals = Mutable<Omit<UpstreamUse, "upstream">>;

/** Creates totals of zero. */
export function createUseTotals(): UseTotals {
  return {
    inFlight: 0,
    readingTokens: 0,
    ...NOTHING_WAITING,
  };
}

/** Adds `other` to `use`, or subtracts it if `sign` is -1. */
export function addUse(
  use: UseTotals,
  other: Readonly<UseTotals>,
  sign: 1 | -1,
): void {
  use.inFlight += sign * other.inFlight;
  use.readingTokens += sign * other.readingTokens;
  use.underserved += sign * other.underserved;
  use.underservedTokens += sign * other.underservedTokens;
  use.yieldingTokens += sign * other.yieldingTokens;
}

/** Whether any of the totals is above zero. */
export function isUsed(use: Readonly<UseTotals>): boolean {
  return use.inFlight > 0 || use.readingTokens > 0 || use.underserved > 0 ||
    use.yieldingTokens > 0;
}
