/**
 * Which upstreams a prompt should go to, the best first: those that are likely
 * to keep its shared part.
 *
 * Load: prompts of 350 to 13,300 shared tokens before a few thousand of their
 * own. Harm prevented: reading a shared part again takes its upstream up to
 * 140 ms in which the answers beside it stand still; spread by load alone four
 * fifths of all reading was such, and only half of the requests were on time.
 *
 * Rendezvous hashing makes all hosts choose the same upstreams without a word
 * between them, and an upstream that goes moves only its own prompts.
 *
 * @module
 */

import { rankByRendezvous } from "../membership/mod.ts";

/** A part of a prompt as placement sees it. */
export interface AffinityPart {
  readonly id: string;
}

/**
 * The part that decides: the last of those that are shared. The ones before it
 * are few and soon kept by every upstream; by the first one a kind of prompt
 * with four of them was at four upstreams of seven while others idled, and
 * fewer came in time. The last part is the request's own, and decides only where
 * it is the only one.
 */
export function getAffinityKey(
  model: string,
  parts: readonly AffinityPart[],
): string {
  const shared = parts.at(-2) ?? parts[0];
  return `${model}/${shared?.id ?? ""}`;
}

/**
 * Reading so many tokens again costs less than a wait, or than an answer's way
 * over the link between regions.
 */
export const NEGLIGIBLE_PREFILL_TOKENS = 1_400;

/** The upstreams' ids in the order in which they should be asked. */
export function rankByAffinity(
  key: string,
  upstreams: readonly { readonly id: string }[],
): readonly string[] {
  return rankByRendezvous(key, upstreams.map((each) => each.id));
}

/** The ids in the same order, but those that are near before all others. */
export function putSameRegionFirst(
  ids: readonly string[],
  isSameRegion: (id: string) => boolean,
): readonly string[] {
  return [
    ...ids.filter(isSameRegion),
    ...ids.filter((id) => !isSameRegion(id)),
  ];
}
