/**
 * Which waiting team gets the next slot of an upstream.
 *
 * Load: more requests than slots, of many teams, in both regions. Harm
 * prevented: one team is served ahead of another beyond the bound, or answers
 * cross the regional link, which is billed, for a difference of no weight.
 *
 * @module
 */

import type { GrantTarget, WaitingByTeam } from "./waiting_teams.ts";

/** What a pick decides from besides who waits. */
export interface PickInput {
  readonly waiting: WaitingByTeam;
  getCounter(team: string): number;
  /** How far a team of the other region must be behind to go first. */
  readonly crossRegionPenalty: number;
}

/** Picks who is next; `undefined` when nobody waits. */
export type PickPolicy = (input: PickInput) => GrantTarget | undefined;

/**
 * The team with the lowest counter, and of it the host where it has waited
 * longest. A team that waits only in the other region counts as further ahead
 * by the penalty: while the regions are level nothing crosses the link.
 */
export function tryPickLowestCounter(
  input: PickInput,
): GrantTarget | undefined {
  let picked: { team: string; hosts: ReadonlyMap<string, number> } | undefined;
  let lowest = Infinity;
  for (const [team, { sameRegion, otherRegions }] of input.waiting) {
    const isSameRegion = sameRegion.size > 0;
    const counter = input.getCounter(team) +
      (isSameRegion ? 0 : input.crossRegionPenalty);
    if (counter >= lowest) continue;
    lowest = counter;
    picked = { team, hosts: isSameRegion ? sameRegion : otherRegions };
  }
  if (picked === undefined) return undefined;
  return { team: picked.team, entryHost: getOldest(picked.hosts) };
}

function getOldest(hosts: ReadonlyMap<string, number>): string {
  let oldest = "";
  let oldestMs = Infinity;
  for (const [entryHost, sinceMs] of hosts) {
    if (sinceMs >= oldestMs) continue;
    oldestMs = sinceMs;
    oldest = entryHost;
  }
  return oldest;
}
