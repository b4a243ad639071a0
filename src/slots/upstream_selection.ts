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

import { decideCrossing } from "../placement/mod.ts";
import type { Upstream } from "../types.ts";

/** Upstreams that a service's requests may use, the preferred first. */
export interface Candidates {
  /** Of the own region. */
  readonly near: readonly Upstream[];
  /** Of other regions that can be reached. */
  readonly far: readonly Upstream[];
}

/**
 * One upstream is asked first, and twice as many after each such wait of the
 * team's oldest request, in ms. Under contention a slot of one upstream comes
 * free about each 160 ms, at today's sizes and at the goal, so nearly all
 * requests are granted before a fifth is asked; each more that is asked costs a
 * want and a withdrawal.
 */
export const DOUBLING_INTERVAL_MS = 100;

/** What the choice of upstreams is made from. */
export interface SelectionInput {
  /** How long the team's oldest request has waited here, in ms. */
  readonly ageMs: number;
  readonly candidates: Candidates;
  /** Upstreams that were asked for the team before. */
  readonly previous: ReadonlySet<string>;
}

/**
 * Whom to ask for a team. Each team widens by its own wait, so that the backlog
 * of one doesn't make the others ask every owner. What is asked already stays
 * asked until the team waits no more.
 */
export function selectUpstreams(input: SelectionInput): ReadonlySet<string> {
  const { ageMs, candidates, previous } = input;
  const selected = new Set<string>();
  for (const { id } of candidates.near) {
    if (previous.has(id)) selected.add(id);
  }
  const maxUpstreams = getMaxUpstreams(ageMs);
  for (const { id } of candidates.near) {
    if (selected.size >= maxUpstreams) break;
    selected.add(id);
  }
  const wasCrossing = candidates.far.some((each) => previous.has(each.id));
  const usesOtherRegions = candidates.near.length === 0 ||
    decideCrossing({ oldestWaitMs: ageMs, wasCrossing });
  if (usesOtherRegions) candidates.far.forEach((each) => selected.add(each.id));
  return selected;
}

/** How long the choice for a request of the age holds, in ms. */
export function getSelectionLifetimeMs(
  ageMs: number,
  hasAllInRegion: boolean,
): number {
  return hasAllInRegion
    ? RENEWAL_INTERVAL_MS
    : DOUBLING_INTERVAL_MS - ageMs % DOUBLING_INTERVAL_MS;
}

function getMaxUpstreams(ageMs: number): number {
  return 2 ** Math.min(MAX_DOUBLINGS, Math.floor(ageMs / DOUBLING_INTERVAL_MS));
}

/** More upstreams than this are not of one service in one region. */
const MAX_DOUBLINGS = 16;

/**
 * Upstreams that left and waits that grew long enough to cross the regional
 * link are seen so often, in ms.
 */
const RENEWAL_INTERVAL_MS = 100;

/**
 * Whether an owner that believes in so many waiting requests needs to be told
 * of the present number. It is told before the last one is granted, so that the
 * team never seems idle there. Believed too many, the grant is returned, which
 * is rarer than a correction for each request that was served elsewhere.
 */
export function needsReport(waiting: number, reported: number): boolean {
  if (waiting === 0) return reported > 0;
  return reported < Math.min(2, waiting);
}
