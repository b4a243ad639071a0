/**
 * Shares of the teams in the capacity of the upstreams, by max-min fairness: no
 * team waits while there is capacity left, and when capacity is short all teams
 * that ask for more than an even share get the same amount.
 *
 * Load: a few teams send seven times their share. Harm prevented: their
 * requests delay those of all other teams past their targets, although no team
 * is entitled to more than its share.
 *
 * @module
 */

/**
 * Returns the largest amount that any team gets: the level at which the
 * demands, limited to it, add up to the capacity. `Infinity` when the capacity
 * is sufficient for all.
 */
export function getFairLevel(
  demands: readonly number[],
  capacity: number,
): number {
  const ascending = [...demands].sort((a, b) => a - b);
  let remaining = capacity;
  for (const [at, demand] of ascending.entries()) {
    const evenShare = remaining / (ascending.length - at);
    if (demand > evenShare) return evenShare;
    remaining -= demand;
  }
  return Infinity;
}
