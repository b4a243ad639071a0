/**
 * Which upstream of a plain service a request goes to: the least busy one, as
 * far as this host knows, and of equals the nearest.
 *
 * Load: short calls of some 20 ms at a few upstreams of 6 slots. Harm
 * prevented: calls queue at one upstream while another idles, or each crosses
 * the link between regions, which costs 40 ms of a target of 200 ms and is paid
 * by volume.
 *
 * @module
 */

/** An upstream as this host sees it. */
export interface UpstreamCandidate {
  readonly id: string;
  readonly slots: number;
  /** Requests that this host has in flight there. */
  readonly inFlight: number;
  readonly distance: Distance;
}

/** How far an upstream is from this host. */
export type Distance = "same-data-centre" | "same-region" | "other-region";

/**
 * What a distance counts for, in requests in flight: within a region a queue of
 * one costs more than the way; the way between regions costs as much as two
 * calls take.
 */
const DISTANCE_COST: Readonly<Record<Distance, number>> = {
  "same-data-centre": 0,
  "same-region": 0.5,
  "other-region": 2,
};

/** The upstreams' ids, the one to ask first at the front. */
export function rankByLoad(
  upstreams: readonly UpstreamCandidate[],
): readonly string[] {
  const ranked = upstreams.map((each) => ({
    id: each.id,
    cost: each.inFlight + DISTANCE_COST[each.distance],
  }));
  ranked.sort((a, b) => a.cost - b.cost);
  return ranked.map((each) => each.id);
}
