/**
 * The hosts where requests wait for an upstream, indexed by team, so that a
 * grant looks at each waiting team once and not at each host. With 29
 * backlogged teams on 390 hosts these are 29 steps instead of 11,310, followed
 * by one step for each host of the picked team.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";

/** When the team's oldest request began to wait, in ms, by host. */
export interface WaitingHosts {
  /** Hosts in the region of the upstream. */
  readonly local: ReadonlyMap<string, number>;
  /** Hosts in other regions. */
  readonly remote: ReadonlyMap<string, number>;
}

/** The waiting hosts of each waiting team. */
export type WaitingByTeam = ReadonlyMap<string, WaitingHosts>;

/** A team at an entry host. */
export interface GrantTarget {
  readonly entryHost: string;
  readonly team: string;
}

/** The teams that wait for one upstream, with their hosts. */
export interface WaitingTeams {
  /** Sets when the team's oldest request at the host began to wait. */
  set(
    target: GrantTarget,
    options: { isSameRegion: boolean; sinceMs: number },
  ): void;
  remove(target: GrantTarget): void;
  has(team: string): boolean;
  getByTeam(): WaitingByTeam;
}

interface Hosts {
  readonly local: Map<string, number>;
  readonly remote: Map<string, number>;
}

/** Creates an empty index. */
export function createWaitingTeams(): WaitingTeams {
  const byTeam = new Map<string, Hosts>();
  return {
    set({ entryHost, team }, { isSameRegion, sinceMs }) {
      const hosts = getOrCreate(byTeam, team, () => ({
        local: new Map<string, number>(),
        remote: new Map<string, number>(),
      }));
      (isSameRegion ? hosts.local : hosts.remote).set(
        entryHost,
        sinceMs,
      );
    },
    remove({ entryHost, team }) {
      const hosts = byTeam.get(team);
      if (hosts === undefined) return;
      hosts.local.delete(entryHost);
      hosts.remote.delete(entryHost);
      if (hosts.local.size + hosts.remote.size === 0) byTeam.delete(team);
    },
    has: (team) => byTeam.has(team),
    getByTeam: () => byTeam,
  };
}
