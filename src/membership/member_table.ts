/**
 * What one host knows of the others: who is there, in which state, since when.
 * Which of two claims about a member is newer is decided here alone.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { Member, MemberState, Seed } from "./types.ts";

/** The members as one host sees them. */
export interface MemberTable {
  getSelf(): Member;
  tryGet(host: string): Member | undefined;
  /** Number of members, dead ones too. */
  getCount(): number;
  /** A member other than this host that is not dead. */
  tryGetPeer(host: string): Member | undefined;
  /** All members, dead ones too, this host included. */
  getAll(): readonly Member[];
  /** Members other than this host that are not dead. */
  getPeers(): readonly Member[];
  /** Hosts that can't be reached now but may come back. */
  getUnreachable(): readonly Seed[];
  /** Takes a claim in; false when it is not newer than what is known. */
  merge(update: Member): boolean;
  /** Sets what this host has found out by itself. */
  set(member: Member): void;
  /** Replaces what the platform lists. */
  setSeeds(seeds: readonly Seed[]): void;
  /** Forgets members that are long dead and no longer listed. */
  removeExpiredDead(): void;
}

/**
 * A dead member that the platform lists no more is forgotten after so long. By
 * then no datagram with its old entry is on its way, so nothing can bring it
 * back; and 88 hosts replaced a day leave one entry or two and not thousands.
 */
export const DEAD_RETENTION_MS = 600_000;

const STATE_PRECEDENCE: Readonly<Record<MemberState, number>> = {
  alive: 0,
  suspect: 1,
  leaving: 2,
  dead: 3,
};

/** Makes a table that knows this host alone. */
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

  return {
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
      const neverSeen = [...seeds.values()].filter((seed) =>
        !members.has(seed.host)
      );
      return [...dead, ...neverSeen];
    },
    merge(update) {
      const known = members.get(update.host);
      // News of the death of a host that is not known, or no more.
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

/** Whether a claim about a member overrides what is known of it. */
export function isNewer(update: Member, known: Member): boolean {
  if (update.incarnation !== known.incarnation) {
    return update.incarnation > known.incarnation;
  }
  if (update.revision !== known.revision) {
    return update.revision > known.revision;
  }
  return STATE_PRECEDENCE[update.state] > STATE_PRECEDENCE[known.state];
}

/** Whether a member may get new work. */
export function isUsableMember(member: Member): boolean {
  return member.state === "alive" || member.state === "suspect";
}
