/**
 * Selects the waiting team that gets the next slot of an upstream.
 *
 * Load: there are more requests than slots, from many teams in both regions.
 * Failure prevented: one team is served ahead of another by more than the
 * fairness bound, or responses cross the regional link, which is billed by
 * volume, for an insignificant difference between teams.
 *
 * @module
 */

import type { GrantTarget, WaitingByTeam } from "./waiting_teams.ts";

/** Input of a pick policy. */
export interface PickInput {
  readonly waiting: WaitingByTeam;
  getCounter(team: string): number;
  /** Added to the counter of a team that waits only in other regions. */
  readonly crossRegionPenalty: number;
}

/**
 * Picks the team and host that get the next slot; `undefined` when none waits.
 */
export type PickPolicy = (input: PickInput) => GrantTarget | undefined;

/**
 * Picks the team with the lowest counter, and of its hosts the one where it has
 * waited longest. The penalty is added to the counter of a team that waits only
 * in another region, so that no response crosses the regional link while the
 * regions are about equally served.
 */
export function tryPickLowestCounter(
  input: PickInput,
): GrantTarget | undefined {
  let picked: { team: string; hosts: ReadonlyMap<string, number> } | undefined;
  let lowest = Infinity;
  for (const [team, { local, remote }] of input.waiting) {
    const isSameRegion = local.size > 0;
    const counter = input.getCounter(team) +
      (isSameRegion ? 0 : input.crossRegionPenalty);
    if (counter >= lowest) continue;
    lowest = counter;
    picked = { team, hosts: isSameRegion ? local : remote };
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
