/**
 * Selects the host addresses that a caller receives.
 *
 * Load: hosts are killed or stopped while their callers cache the list of hosts
 * for seconds. Failure prevented: a caller whose only address belongs to a dead
 * host can't send requests until it queries again, and a caller that is sent to
 * a distant host pays the additional latency on each request.
 *
 * @module
 */

import type { Member } from "../membership/mod.ts";
import type { AllowedRegions } from "../routing/mod.ts";
import type { ResolveQuery } from "./types.ts";

/** The inputs of the selection. */
export interface AddressInput {
  readonly query: ResolveQuery;
  readonly members: readonly Member[];
  /** Regions to which the caller's requests may be sent. */
  readonly allowedRegions: AllowedRegions;
  getRegion(dataCentre: string): string | undefined;
  /** Whether the host takes no new callers at present. */
  isFull(member: Member): boolean;
}

/**
 * Minimum number of hosts that a caller receives, if that many exist. Two of
 * them may die at once and the caller still has others.
 */
const MIN_ADDRESSES = 6;

/** Maximum number of addresses that callers accept. */
const MAX_ADDRESSES = 64;

/**
 * Selects the addresses, nearest hosts first. All hosts in the caller's own
 * data centre are included, up to the maximum. Hosts outside the caller's own
 * and the allowed regions are returned only if there are no others.
 */
export function chooseAddresses(input: AddressInput): readonly string[] {
  const { members } = input;
  const alive = members.filter((each) => each.state === "alive");
  // If no host is alive, suspect hosts are returned rather than none.
  const usable = alive.length > 0
    ? alive
    : members.filter((each) => each.state === "suspect");
  const permitted = preferWhere(usable, (each) => isPermitted(each, input));
  const ranked = preferWhere(permitted, (each) => !input.isFull(each))
    .map((member) => ({ member, distance: getDistance(member, input) }))
    .sort((a, b) => a.distance - b.distance);
  const ownCount = ranked.filter((each) => each.distance === 0).length;
  const count = Math.min(MAX_ADDRESSES, Math.max(ownCount, MIN_ADDRESSES));
  return ranked.slice(0, count).map((each) => each.member.publicAddress);
}

/** Returns the members that fulfil the condition, or all if none does. */
function preferWhere(
  members: readonly Member[],
  condition: (member: Member) => boolean,
): readonly Member[] {
  const preferred = members.filter(condition);
  return preferred.length > 0 ? preferred : members;
}

function isPermitted(
  { dataCentre }: Member,
  { query, getRegion, allowedRegions }: AddressInput,
): boolean {
  if (allowedRegions === undefined || dataCentre === query.dataCentre) {
    return true;
  }
  const region = getRegion(dataCentre) ?? "";
  return region === query.region || allowedRegions.has(region);
}

function getDistance(member: Member, input: AddressInput): 0 | 1 | 2 {
  const { query, getRegion } = input;
  if (member.dataCentre === query.dataCentre) return 0;
  return getRegion(member.dataCentre) === query.region ? 1 : 2;
}
