/**
 * Keeps the inputs of placement: hints about free slots, and this host's random
 * order of preference among upstreams.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import { getCandidates, getRegion, type Placement } from "../placement/mod.ts";
import type { FleetHost } from "./types.ts";

/**
 * Time after which a hint is ignored, in ms, since slots fill within seconds.
 */
const HINT_MS = 1_000;

/** Placement with the hints received. */
export interface Placer {
  getCandidates(service: string): Placement;
  onFreeHint(upstream: string, free: number): void;
}

/** Creates a placer without hints. */
export function createPlacer(host: FleetHost): Placer {
  const hints = new Map<string, { free: number; receivedMs: number }>();
  const preferences = new Map<string, number>();

  function getLiveRegions(): ReadonlySet<string> {
    const deployment = host.getDeployment();
    if (deployment === undefined) return new Set();
    return new Set(
      host.membership.getUsable().map((each) =>
        getRegion(deployment, each.dataCentre)
      ),
    );
  }

  return {
    getCandidates(service) {
      const deployment = host.getDeployment();
      if (deployment === undefined) return { sameRegion: [], otherRegions: [] };
      const nowMs = host.clock.monotonicMs();
      const liveRegions = getLiveRegions();
      return getCandidates({
        deployment,
        service,
        ownDataCentre: host.dataCentre,
        isLeaving: host.isUpstreamLeaving,
        isRegionReachable: (region) => liveRegions.has(region),
        getFreeSlotsHint(upstream) {
          const hint = hints.get(upstream);
          if (hint === undefined || nowMs - hint.receivedMs > HINT_MS) return 0;
          return hint.free;
        },
        getTieBreaker: (upstream) =>
          getOrCreate(preferences, upstream, host.random),
      });
    },
    onFreeHint: (upstream, free) =>
      void hints.set(upstream, { free, receivedMs: host.clock.monotonicMs() }),
  };
}
