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
  /** The value of `limitTokens` for prompts that yield to no others. */
  readonly fullLimitTokens: number;
  /**
   * Whether the prompt leaves the last room to prompts of underserved teams.
   */
  readonly yieldsToUnderserved: boolean;
}

/** Whether an upstream has room for a prompt. */
export function hasRoom(load: UpstreamLoad, request: RoomRequest): boolean {
  if (load.isWarmUpSpent) return false;
  if (load.inFlight >= load.slots * request.slotShare) return false;
  const readingTokens = load.readingTokens + request.readingTokens;
  const isWithinLimit = readingTokens <= request.limitTokens;
  // A prompt above the limit may start only where nothing is being prefilled.
  if (!isWithinLimit && load.readingTokens > 0) return false;
  const leavesRoomForNext =
    readingTokens + request.readingTokens <= request.fullLimitTokens;
  return leavesRoomForNext || !request.yieldsToUnderserved ||
    load.underservedElsewhere === 0;
}
