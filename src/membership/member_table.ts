/**
 * Table of the fleet's members as one host knows them, with their states.
 * Decides which of two updates about a member is newer.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { Member, MemberState, Seed } from "./types.ts";

/** The members that one host knows. */
export interface MemberTable {
  getSelf(): Member;
  tryGet(host: string): Member | undefined;
  /** Number of members, dead ones included. */
  getCount(): number;
  /** The member, if it is another host and not dead. */
  tryGetPeer(host: string): Member | undefined;
  /** All members, including dead ones and this host. */
  getAll(): readonly Member[];
  /** All members that are other hosts and not dead. */
  getPeers(): readonly Member[];
  /** Listed hosts that this one does not know as members. */
  getUnmet(): readonly Seed[];
  /**
   * Hosts that may come back: dead members, and listed hosts that have never
   * answered.
   */
  getUnreachable(): readonly Seed[];
  /**
   * Merges an update that another host sent; returns false when it is not newer
   * than the known entry.
   */
  merge(update: Member): boolean;
  /** Sets an entry that this host has changed itself. */
  set(member: Member): void;
  /** Replaces the hosts that the platform's list or the settings name. */
  setSeeds(seeds: readonly Seed[]): void;
  /**
   * Removes members that have been dead for `DEAD_RETENTION_MS` and are no
   * longer listed.
   */
  removeExpiredDead(): void;
}

/**
 * Time after which a dead member that the platform no longer lists is removed,
 * in ms. By then no datagram with its old entry is in flight that could bring
 * it back. With 88 hosts replaced a day, one or two such entries remain at a
 * time, instead of thousands.
 */
export const DEAD_RETENTION_MS = 600_000;

const STATE_PRECEDENCE: Readonly<Record<MemberState, number>> = {
  alive: 0,
  suspect: 1,
  leaving: 2,
  dead: 3,
};

/** Creates a table that contains only this host. */
export function createMemberTable(self: Member, clock: Clock): MemberTable {
  const members = new Map<string, Member>([[self.host, self]]);
  const deadSinceMs = new Map<string, number>();
  let seeds: ReadonlyMap<string, Seed> = new Map();

  function set(member: Member): void {
    members.set(member.host, member);
    if (member.state !== "dead") deadSinceMs.delete(member.host);
    else if (!deadSinceMs.has(member.host)) {
      deadSinceMs.set(member.host, clock.monotonicMs());
    }
  }

  function isUnreachable(host: string): boolean {
    const member = members.get(host);
    return member === undefined || member.state === "dead";
  }

  function getUnmet(): readonly Seed[] {
    return [...seeds.values()].filter((seed) => !members.has(seed.host));
  }

  return {
    getUnmet,
    getSelf: () => members.get(self.host)!,
    tryGet: (host) => members.get(host),
    getCount: () => members.size,
    tryGetPeer(host) {
      const member = members.get(host);
      const isOther = host !== self.host && member?.state !== "dead";
      return isOther ? member : undefined;
    },
    getAll: () => [...members.values()],
    getPeers: () =>
      [...members.values()].filter((member) =>
        member.host !== self.host && member.state !== "dead"
      ),
    getUnreachable() {
      const dead = [...deadSinceMs.keys()].map((host) => members.get(host)!);
      return [...dead, ...getUnmet()];
    },
    merge(update) {
      const known = members.get(update.host);
      // An unknown or already removed host is not added as dead.
      if (known === undefined && update.state === "dead") return false;
      if (known !== undefined && !isNewer(update, known)) return false;
      set(update);
      return true;
    },
    set,
    setSeeds(listed) {
      const others = listed.filter((seed) => seed.host !== self.host);
      seeds = new Map(others.map((seed) => [seed.host, seed]));
    },
    removeExpiredDead() {
      const nowMs = clock.monotonicMs();
      for (const [host, sinceMs] of deadSinceMs) {
        if (seeds.has(host) || nowMs - sinceMs < DEAD_RETENTION_MS) continue;
        if (!isUnreachable(host)) continue;
        deadSinceMs.delete(host);
        members.delete(host);
      }
    },
  };
}

/** Whether the new entry overrides the known one. */
export function isNewer(entry: Member, known: Member): boolean {
  if (entry.incarnation !== known.incarnation) {
    return entry.incarnation > known.incarnation;
  }
  if (entry.revision !== known.revision) return entry.revision > known.revision;
  return STATE_PRECEDENCE[entry.state] > STATE_PRECEDENCE[known.state];
}

/**
 * Whether the member may get new work. A suspect may, since most suspects turn
 * out to be alive.
 */
export function isUsableMember(member: Member): boolean {
  return member.state === "alive" || member.state === "suspect";
}
