/**
 * Selects the upstreams of which a host requests a slot, and decides when an
 * owner needs to be told how many requests wait.
 *
 * Load: there are few free slots, or none, on many upstreams. Failure
 * prevented: a request for which a slot is requested from every owner at once
 * is granted several; all but one of them stay idle for a round trip, and each
 * costs two messages. If only one owner is asked, the request waits while
 * another upstream has a free slot.
 *
 * @module
 */

import { decideCrossRegion } from "../placement/mod.ts";
import type { Upstream } from "../types.ts";

/** The upstreams that requests of a service may use, in order of preference. */
export interface Candidates {
  /** Upstreams in the region of this host. */
  readonly sameRegion: readonly Upstream[];
  /** Upstreams in other regions that are reachable. */
  readonly otherRegions: readonly Upstream[];
}

/**
 * The number of upstreams asked starts at one and doubles each time that the
 * team's oldest request has waited this long, in ms. Under contention a slot of
 * one upstream becomes free about every 160 ms, at the current and at the
 * planned fleet size, so nearly all requests are granted a slot before a fifth
 * upstream is asked. Each further upstream costs a request message and a
 * withdrawal.
 */
export const DOUBLING_INTERVAL_MS = 100;

/** Input of the selection of upstreams. */
export interface SelectionInput {
  /** How long the team's oldest request has waited at this host, in ms. */
  readonly ageMs: number;
  readonly candidates: Candidates;
  /** Upstreams that the team's previous selection contains. */
  readonly previous: ReadonlySet<string>;
}

/**
 * Selects the upstreams to ask for a team. The number grows with the team's own
 * wait, so that the backlog of one team does not make the others ask every
 * owner. An upstream stays selected until the team has no waiting requests.
 */
export function selectUpstreams(input: SelectionInput): ReadonlySet<string> {
  const { ageMs, candidates, previous } = input;
  const selected = new Set<string>();
  for (const { id } of candidates.sameRegion) {
    if (previous.has(id)) selected.add(id);
  }
  const maxUpstreams = getMaxUpstreams(ageMs);
  for (const { id } of candidates.sameRegion) {
    if (selected.size >= maxUpstreams) break;
    selected.add(id);
  }
  const wasCrossRegion = candidates.otherRegions.some((each) =>
    previous.has(each.id)
  );
  const usesAll = candidates.sameRegion.length === 0 ||
    decideCrossRegion({ oldestWaitMs: ageMs, wasCrossRegion });
  if (usesAll) candidates.otherRegions.forEach((each) => selected.add(each.id));
  return selected;
}

/**
 * How long a selection is valid when the oldest request has the given age, in
 * ms.
 */
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

/**
 * Limits the exponent: no service has more than 65,536 upstreams in one region.
 */
const MAX_DOUBLINGS = 16;

/**
 * How often a selection that contains all upstreams of the region is renewed,
 * in ms. The renewal drops upstreams that have left, and adds those of other
 * regions once the wait is long enough.
 */
const RENEWAL_INTERVAL_MS = 100;

/**
 * Whether an owner that knows of `reported` waiting requests needs to be told
 * the current number. It is told before the last known request is granted, so
 * that the team never seems to have no waiting requests there. When the owner
 * knows of too many requests, the surplus grant is returned; this is rarer than
 * a correction would be for each request that another upstream has served.
 */
export function needsReport(waiting: number, reported: number): boolean {
  if (waiting === 0) return reported > 0;
  return reported < Math.min(2, waiting);
}
