/**
 * Rendezvous hashing: all hosts that know the same members choose the same
 * owner for a key, and a change of one member moves only that member's keys.
 *
 * Load: 600 upstreams over the 65 hosts of a data centre, ranked again at each
 * change of a member.
 *
 * Failure prevented: a digest for each of the 39,000 pairs would block the
 * event loop for as long as two tokens of a stream take. Each string is
 * therefore digested once, and a pair costs a few multiplications.
 *
 * @module
 */

import { createHash } from "node:crypto";

/**
 * The candidate with the highest score for the key, or `undefined` without
 * candidates.
 */
export function tryGetOwner(
  key: string,
  candidates: readonly string[],
): string | undefined {
  const keyHash = getHash(key);
  let owner: string | undefined;
  let highest = -1;
  for (const candidate of candidates) {
    const score = mix(keyHash, getHash(candidate));
    const wins = score > highest || (score === highest && candidate < owner!);
    if (!wins) continue;
    highest = score;
    owner = candidate;
  }
  return owner;
}

/**
 * The candidates in descending order of their scores for the key; the owner
 * comes first.
 */
export function rankByRendezvous(
  key: string,
  candidates: readonly string[],
): readonly string[] {
  const keyHash = getHash(key);
  const scored = candidates.map((candidate) => ({
    candidate,
    score: mix(keyHash, getHash(candidate)),
  }));
  scored.sort((a, b) =>
    b.score - a.score || (a.candidate < b.candidate ? -1 : 1)
  );
  return scored.map((each) => each.candidate);
}

/** A candidate and its share of the keys, relative to the others' weights. */
export interface WeightedCandidate {
  readonly id: string;
  /** Above zero. */
  readonly weight: number;
}

/**
 * Ranks like `rankByRendezvous`, but each candidate is the first of a share of
 * the keys that is proportional to its weight. With equal weights the ranking
 * is that of `rankByRendezvous`. A change of one weight moves only keys from or
 * to that candidate, because the scores of the others do not depend on it.
 */
export function rankByWeightedRendezvous(
  key: string,
  candidates: readonly WeightedCandidate[],
): readonly string[] {
  const keyHash = getHash(key);
  const scored = candidates.map(({ id, weight }) => ({
    id,
    score: -weight / Math.log(toUnitInterval(mix(keyHash, getHash(id)))),
  }));
  scored.sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1));
  return scored.map((each) => each.id);
}

/** Maps a 32-bit hash to the open interval from 0 to 1, in the same order. */
function toUnitInterval(hash: number): number {
  return (hash + 0.5) / 2 ** 32;
}

/**
 * Maximum number of cached hashes: those of all hosts and upstreams, and some
 * of replaced ones.
 */
const MAX_HASHES = 8_192;

const hashes = new Map<string, number>();

/** First 32 bits of the string's SHA-1 digest. */
function getHash(text: string): number {
  const known = hashes.get(text);
  if (known !== undefined) return known;
  if (hashes.size >= MAX_HASHES) hashes.clear();
  const hash = createHash("sha1").update(text).digest().readUInt32BE(0);
  hashes.set(text, hash);
  return hash;
}

/**
 * Mixes two hashes so that each bit of either affects all bits of the score.
 */
function mix(a: number, b: number): number {
  let mixed = a ^ Math.imul(b, 0x9e3779b1);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
