/**
 * How many upstreams a host asks for a slot, and for how many slots.
 *
 * Load: a few free slots, or none, on many upstreams. Harm prevented: a request
 * asked of every owner at once is granted by several; all but one of the slots
 * idle for a round trip and each costs two messages. Asked of one only, it waits
 * while another has room.
 *
 * @module
 */

import { decideCrossRegion } from "../placement/mod.ts";
import type { Upstream } from "../types.ts";

/** Upstreams that a service's requests may use, the preferred first. */
export interface Candidates {
  /** Of the own region. */
  readonly sameRegion: readonly Upstream[];
  /** Of other regions that can be reached. */
  readonly otherRegions: readonly Upstream[];
}

/**
 * One upstream is asked first, and twice as many after each such wait of the
 * team's oldest request, in ms. Under contention a slot of one upstream comes
 * free about each 160 ms, at today's sizes and at the goal, so nearly all
 * requests are granted before a fifth is asked; each more that is asked costs a
 * want and a withdrawal.
 */
export const WIDEN_MS = 100;

/** What the choice of upstreams is made from. */
export interface AskingInput {
  /** How long the team's oldest request has waited here, in ms. */
  readonly ageMs: number;
  readonly candidates: Candidates;
  /** Upstreams that were asked for the team before. */
  readonly before: ReadonlySet<string>;
}

/**
 * Whom to ask for a team. Each team widens by its own wait, so that the backlog
 * of one doesn't make the others ask every owner. What is asked already stays
 * asked until the team waits no more.
 */
export function getAsked(input: AskingInput): ReadonlySet<string> {
  const { ageMs, candidates, before } = input;
  const asked = new Set<string>();
  for (const { id } of candidates.sameRegion) {
    if (before.has(id)) asked.add(id);
  }
  const width = getWidth(ageMs);
  for (const { id } of candidates.sameRegion) {
    if (asked.size >= width) break;
    asked.add(id);
  }
  const wasCrossing = candidates.otherRegions.some((each) =>
    before.has(each.id)
  );
  const crosses = candidates.sameRegion.length === 0 ||
    decideCrossRegion({ oldestWaitMs: ageMs, wasCrossRegion: wasCrossing });
  if (crosses) candidates.otherRegions.forEach((each) => asked.add(each.id));
  return asked;
}

/** How long the choice for a request of the age holds, in ms. */
export function getAskingPauseMs(ageMs: number, isWide: boolean): number {
  return isWide ? REFRESH_MS : WIDEN_MS - ageMs % WIDEN_MS;
}

function getWidth(ageMs: number): number {
  return 2 ** Math.min(MAX_DOUBLINGS, Math.floor(ageMs / WIDEN_MS));
}

/** More upstreams than this are not of one service in one region. */
const MAX_DOUBLINGS = 16;

/**
 * Upstreams that left and waits that grew long enough to cross the regional
 * link are seen so often, in ms.
 */
const REFRESH_MS = 100;

/**
 * Whether an owner that believes in so many waiting requests needs to be told
 * of the present number. It is told before the last one is granted, so that the
 * team never seems idle there. Believed too many, the grant is returned, which
 * is rarer than a correction for each request that was served elsewhere.
 */
export function needsTelling(waiting: number, believed: number): boolean {
  if (waiting === 0) return believed > 0;
  return believed < Math.min(2, waiting);
}
