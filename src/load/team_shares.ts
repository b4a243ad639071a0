/**
 * How much each team may take of what the upstreams do, by max-min fairness: no
 * team waits while there is room, and of what is short, those that ask for more
 * than an even share all get the same.
 *
 * Load: a few teams send seven times their share. Harm prevented: their
 * requests delay those of all others past their targets, though what a team
 * asks beyond its share is owed to nobody.
 *
 * @module
 */

/**
 * The share above which no team gets more: the level at which the demands, cut
 * there, add up to the capacity. `Infinity` when there is enough for all.
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
