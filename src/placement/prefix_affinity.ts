/**
 * Ranks upstreams for a prompt by prefix affinity: first those that are likely
 * to have its shared prefix cached.
 *
 * Load: prompts with a shared prefix of 350 to 13,300 tokens, followed by a few
 * thousand tokens of their own.
 *
 * Failure prevented: prefilling a shared prefix again occupies an upstream for
 * up to 140 ms, during which all other responses there pause. With placement by
 * load alone, four fifths of all prefill work was repeated, and only half of
 * the requests were on time.
 *
 * Rendezvous hashing makes all hosts choose the same upstreams without
 * communication, and removing an upstream moves only its own prompts.
 *
 * @module
 */

import { rankByWeightedRendezvous } from "../membership/mod.ts";

/** A part of a prompt. */
export interface AffinityPart {
  readonly id: string;
}

/**
 * Returns the key of the last shared part. The parts before it have few
 * distinct values, which every upstream soon has cached. If the first part were
 * the key, prompts of a kind with four first parts would go to four of seven
 * upstreams while the others were idle, and fewer would be on time. The last
 * part of a prompt is unique to the request, and is the key only if there is no
 * other part.
 */
export function getAffinityKey(
  model: string,
  parts: readonly AffinityPart[],
): string {
  const shared = parts.at(-2) ?? parts[0];
  return `${model}/${shared?.id ?? ""}`;
}

/**
 * Up to this number of tokens, prefilling again costs less than waiting, or
 * than sending the response over the link between regions.
 */
export const NEGLIGIBLE_PREFILL_TOKENS = 1_400;

/**
 * Returns the ids of the upstreams, the preferred one first. An upstream is
 * preferred for a share of the keys in proportion to its weight.
 */
export function rankByAffinity<T extends { readonly id: string }>(
  key: string,
  upstreams: readonly T[],
  getWeight: (upstream: T) => number = () => 1,
): readonly string[] {
  return rankByWeightedRendezvous(
    key,
    upstreams.map((each) => ({ id: each.id, weight: getWeight(each) })),
  );
}

/** Moves the preferred ids to the front; keeps the order otherwise. */
export function putFirst(
  ids: readonly string[],
  isPreferred: (id: string) => boolean,
): readonly string[] {
  return [
    ...ids.filter(isPreferred),
    ...ids.filter((id) => !isPreferred(id)),
  ];
}
