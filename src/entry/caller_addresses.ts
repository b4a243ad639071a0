/**
 * Decides which hosts a caller is told to use.
 *
 * Load: hosts are killed or stopped while their callers keep an answer for
 * seconds. Harm prevented: a caller with one address that died has none left
 * until it asks again; a caller sent far away pays the way for each request.
 *
 * @module
 */

import type { Member } from "../membership/mod.ts";
import type { ResolveQuery } from "./types.ts";

/** What the choice is made from. */
export interface AddressInput {
  readonly query: ResolveQuery;
  readonly members: readonly Member[];
  getRegion(dataCentre: string): string | undefined;
  /** The host takes no new callers for now. */
  isFull(member: Member): boolean;
}

/**
 * A caller gets at least so many hosts where there are as many: two may die at
 * once, and the caller still has one.
 */
const MIN_ADDRESSES = 6;

/** Callers read no more than so many. */
const MAX_ADDRESSES = 64;

/** The addresses, those of the caller's own data centre first. */
export function chooseAddresses(input: AddressInput): readonly string[] {
  const { members } = input;
  const alive = members.filter((each) => each.state === "alive");
  // A suspect is better than no host at all.
  const usable = alive.length > 0
    ? alive
    : members.filter((each) => each.state === "suspect");
  const notFull = usable.filter((each) => !input.isFull(each));
  // A full host is better than none, too.
  const candidates = notFull.length > 0 ? notFull : usable;
  const ranked = candidates
    .map((member) => ({ member, distance: getDistance(member, input) }))
    .sort((a, b) => a.distance - b.distance);
  const ownCount = ranked.filter((each) => each.distance === 0).length;
  const count = Math.min(MAX_ADDRESSES, Math.max(ownCount, MIN_ADDRESSES));
  return ranked.slice(0, count).map((each) => each.member.publicAddress);
}

function getDistance(member: Member, input: AddressInput): 0 | 1 | 2 {
  const { query, getRegion } = input;
  if (member.dataCentre === query.dataCentre) return 0;
  return getRegion(member.dataCentre) === query.region ? 1 : 2;
}
