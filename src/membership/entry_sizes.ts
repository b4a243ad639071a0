/**
 * Sizes of the entries of a datagram, which must fit into one packet.
 *
 * @module
 */

import type { Fact, Member } from "./types.ts";

/** Encoded bytes of a member entry or a fact besides its strings. */
const ENTRY_OVERHEAD_BYTES = 32;

const MAX_FACT_BYTES = 512;

/** Throws `RangeError` when the fact is too large for a datagram. */
export function checkFactSize(fact: Fact): void {
  if (estimateFactSize(fact) <= MAX_FACT_BYTES) return;
  throw new RangeError(`The fact "${fact.key}" is too large for a datagram`);
}

/** Estimates the encoded size of a member entry, in bytes. */
export function estimateMemberSize(member: Member): number {
  const { host, dataCentre, peerAddress, publicAddress } = member;
  return ENTRY_OVERHEAD_BYTES + host.length + dataCentre.length +
    peerAddress.length + publicAddress.length;
}

/** Splits the facts into groups of at most `maxBytes`, or of one fact. */
export function splitBySize(
  all: readonly Fact[],
  maxBytes: number,
): readonly (readonly Fact[])[] {
  const groups: Fact[][] = [];
  let leftBytes = 0;
  for (const fact of all) {
    const bytes = estimateFactSize(fact);
    if (groups.length === 0 || bytes > leftBytes) {
      groups.push([]);
      leftBytes = maxBytes;
    }
    groups.at(-1)!.push(fact);
    leftBytes -= bytes;
  }
  return groups;
}

/** Estimates the encoded size of a fact, in bytes. */
export function estimateFactSize(fact: Fact): number {
  return ENTRY_OVERHEAD_BYTES + fact.key.length + fact.value.length;
}
