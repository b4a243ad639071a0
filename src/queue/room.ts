/**
 * Decides whether an upstream has room for one more prompt.
 *
 * Load: more prompts than the upstreams can prefill in time. Harm prevented:
 * prompts that are prefilled at the same time delay each other, and a team whose
 * callers use fewer hosts finds all room taken.
 *
 * @module
 */

import type { UpstreamLoad } from "./types.ts";

/**
 * The room that a prompt needs at an upstream, and the limits that apply to it.
 */
export interface RoomRequest {
  /** Tokens for which the prompt counts. */
  readonly readingTokens: number;
  /** Share of the upstream's slots that may be in use. */
  readonly slotShare: number;
  /** Tokens that the upstream may be prefilling, with this prompt. */
  readonly limitTokens: number;
  /** Tokens for which a prompt counts at most. */
  readonly maxCountedTokens: number;
  /** The value of `limitTokens` for prompts that yield to no others. */
  readonly fullLimitTokens: number;
  /**
   * Whether the prompt leaves the last room to prompts of underserved teams.
   */
  readonly yieldsToUnderserved: boolean;
}

/**
 * Room at an upstream that hosts share between them, relative to its limit: a
 * prompt counts as prefilled until its first event, about twice as long as its
 * prefill takes.
 */
const SHARED_LIMIT_MULTIPLE = 2;

/** Whether an upstream has room for a prompt. */
export function hasRoom(load: UpstreamLoad, request: RoomRequest): boolean {
  if (load.isWarmUpSpent) return false;
  if (load.inFlight >= load.slots * request.slotShare) return false;
  const readingTokens = load.readingTokens + request.readingTokens;
  const isWithinLimit = readingTokens <= request.limitTokens;
  // A prompt above the limit may start only where nothing is being prefilled.
  if (!isWithinLimit && load.readingTokens > 0) return false;
  return !request.yieldsToUnderserved ||
    readingTokens + getReservedTokens(load, request) <= request.fullLimitTokens;
}

/**
 * The room that is left for a yielding prompt, as a share of what it and those
 * at other hosts wait for.
 */
export function getRoomShare(
  load: UpstreamLoad,
  request: RoomRequest,
): number {
  const room = Math.min(
    request.limitTokens * SHARED_LIMIT_MULTIPLE,
    request.fullLimitTokens * SHARED_LIMIT_MULTIPLE -
      getReservedTokens(load, request),
  ) - load.readingTokens;
  return room / (load.yieldingElsewhere + request.readingTokens);
}

/**
 * Room that a prompt leaves to waiting ones of underserved teams: as much as
 * these need, so that small prompts do not take it before a large one fits. Never
 * all of it, so that the upstream stays in use until these prompts start.
 */
function getReservedTokens(load: UpstreamLoad, request: RoomRequest): number {
  const { underservedTokens, underservedElsewhere } = load;
  // Hosts of earlier versions report no tokens, nor do those whose prompts have
  // gone but whose next ones are expected.
  const unsizedTokens = underservedElsewhere > 0 ? request.readingTokens : 0;
  return Math.max(
    unsizedTokens,
    Math.min(underservedTokens, request.maxCountedTokens),
  );
}
