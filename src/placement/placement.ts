/**
 * Which upstreams a request may use, seen from one host: those of its own
 * region first, and those across the regional link only after it has waited,
 * since that link is narrow and paid by volume.
 *
 * Load: demand skewed to one region. Harm prevented: requests wait while the
 * other region has room, or cross the link while their own has.
 *
 * @module
 */

import type { Deployment, Upstream } from "../types.ts";

/**
 * Longest wait in the own region before the other region is asked, in ms. By
 * then each owner of the region has been asked for most of a second, so that a
 * slot free there would have been granted.
 */
export const CROSS_REGION_START_WAIT_MS = 1_000;

/** Once across, the other region is asked until waits are as short as this. */
export const CROSS_REGION_STOP_WAIT_MS = 500;

/** What placement decides from. */
export interface PlacementInput {
  readonly deployment: Deployment;
  readonly service: string;
  readonly ownDataCentre: string;
  isLeaving(upstream: string): boolean;
  /** Whether a host of the upstream's region is live, as seen from here. */
  isRegionReachable(region: string): boolean;
  /** Free slots by the owner's last hint; zero when unknown. */
  getFreeSlotsHint(upstream: string): number;
  /** A number by which hosts differ, so that they don't ask all the same. */
  getTieBreaker(upstream: string): number;
}

/** The upstreams that may be asked for a slot, the preferred first. */
export interface Placement {
  /** Of the own region. */
  readonly sameRegion: readonly Upstream[];
  /** Of other regions that can be reached. */
  readonly otherRegions: readonly Upstream[];
}

/** The upstreams that may be asked, those with free slots and of the own data centre first. */
export function getCandidates(input: PlacementInput): Placement {
  const { deployment } = input;
  const ownRegion = getRegion(deployment, input.ownDataCentre);
  const sameRegion: Upstream[] = [];
  const otherRegions: Upstream[] = [];
  for (const upstream of deployment.upstreams) {
    if (upstream.service !== input.service) continue;
    if (input.isLeaving(upstream.id)) continue;
    const region = getRegion(deployment, upstream.dataCentre);
    if (region === ownRegion) sameRegion.push(upstream);
    // Without a live host there, the link is cut: a request would hang on it.
    else if (input.isRegionReachable(region)) otherRegions.push(upstream);
  }
  return {
    sameRegion: sortByPreference(sameRegion, input),
    otherRegions: sortByPreference(otherRegions, input),
  };
}

/** What crossing is decided from. */
export interface CrossRegionInput {
  /** How long the team's oldest request has waited here, in ms. */
  readonly oldestWaitMs: number;
  /** Whether the other region was asked at the last decision. */
  readonly wasCrossRegion: boolean;
}

/** Whether the other region is asked, too. */
export function decideCrossRegion(input: CrossRegionInput): boolean {
  const thresholdMs = input.wasCrossRegion
    ? CROSS_REGION_STOP_WAIT_MS
    : CROSS_REGION_START_WAIT_MS;
  return input.oldestWaitMs >= thresholdMs;
}

/** The region of a data centre; empty for one that is not declared. */
export function getRegion(
  deployment: Deployment,
  dataCentre: string,
): string {
  const found = deployment.dataCentres.find((each) => each.id === dataCentre);
  return found?.region ?? "";
}

function sortByPreference(
  upstreams: readonly Upstream[],
  input: PlacementInput,
): readonly Upstream[] {
  const ranked = upstreams.map((upstream) => ({
    upstream,
    hasFreeSlots: Number(input.getFreeSlotsHint(upstream.id) > 0),
    isOwnDataCentre: Number(upstream.dataCentre === input.ownDataCentre),
    tieBreaker: input.getTieBreaker(upstream.id),
  }));
  ranked.sort((a, b) =>
    b.hasFreeSlots - a.hasFreeSlots || b.isOwnDataCentre - a.isOwnDataCentre ||
    a.tieBreaker - b.tieBreaker
  );
  return ranked.map((each) => each.upstream);
}
