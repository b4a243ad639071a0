/**
 * Determines which upstreams a host may use for a request: those of its own
 * region, and those of other regions only after the request has waited, because
 * the link between regions is narrow and billed by volume.
 *
 * Load: demand that is concentrated in one region.
 *
 * Failures prevented: requests wait while another region has free slots, or
 * cross the link while their own region has some.
 *
 * @module
 */

import type { Deployment, Upstream } from "../types.ts";

/**
 * Wait in the host's own region, in ms, after which other regions are asked,
 * too. By then each owner of upstreams in the region has been asked for most of
 * a second, so that a free slot there would have been granted.
 */
export const CROSS_REGION_START_WAIT_MS = 1_000;

/**
 * Other regions are asked until waits are shorter than this, in ms. Lower than
 * `CROSS_REGION_START_WAIT_MS`, so that the decision does not flap.
 */
export const CROSS_REGION_STOP_WAIT_MS = 500;

/** Inputs of the placement. */
export interface PlacementInput {
  readonly deployment: Deployment;
  readonly service: string;
  readonly ownDataCentre: string;
  isLeaving(upstream: string): boolean;
  /** Whether this host sees a live host in the region. */
  isRegionReachable(region: string): boolean;
  /** Free slots according to the owner's last hint; zero if unknown. */
  getFreeSlotsHint(upstream: string): number;
  /**
   * Tie breaker that differs between hosts, so that they do not all ask the
   * same upstream first.
   */
  getTieBreaker(upstream: string): number;
}

/** The upstreams that may be asked for a slot, in order of preference. */
export interface Placement {
  /** Upstreams of this host's region. */
  readonly sameRegion: readonly Upstream[];
  /** Upstreams of other regions that are reachable. */
  readonly otherRegions: readonly Upstream[];
}

/**
 * Returns the upstreams that may be asked. Those with free slots come first,
 * then those in this host's data centre.
 */
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
    // If no host of the region is live, the link is probably cut, and a request
    // sent there would hang.
    else if (input.isRegionReachable(region)) otherRegions.push(upstream);
  }
  return {
    sameRegion: sortByPreference(sameRegion, input),
    otherRegions: sortByPreference(otherRegions, input),
  };
}

/** Inputs of the decision to ask other regions. */
export interface CrossRegionInput {
  /** Wait of the team's oldest request at this host, in ms. */
  readonly oldestWaitMs: number;
  /** Whether the last decision was to ask other regions. */
  readonly wasCrossRegion: boolean;
}

/** Decides whether other regions are asked in addition to this host's own. */
export function decideCrossRegion(input: CrossRegionInput): boolean {
  const thresholdMs = input.wasCrossRegion
    ? CROSS_REGION_STOP_WAIT_MS
    : CROSS_REGION_START_WAIT_MS;
  return input.oldestWaitMs >= thresholdMs;
}

/**
 * Returns the region of a data centre; empty if the data centre is not
 * declared.
 */
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
