/**
 * Determines which hosts and upstreams are in a different region than this
 * host.
 *
 * @module
 */

import type { Member } from "../membership/mod.ts";
import { getRegion } from "../placement/mod.ts";
import type { Deployment } from "../types.ts";

/** Dependencies of the region checks, supplied by the process. */
export interface RegionsHost {
  readonly dataCentre: string;
  getDeployment(): Deployment | undefined;
  getMembers(): readonly Member[];
}

/** Checks for another region; false while the location is unknown. */
export interface Regions {
  isHostInOtherRegion(host: string): boolean;
  /** Identifies the host by its peer address. */
  isPeerInOtherRegion(peerAddress: string): boolean;
  isUpstreamInOtherRegion(address: string): boolean;
}

/** Creates the region checks of a host. */
export function createRegions(host: RegionsHost): Regions {
  function isInOtherRegion(dataCentre: string | undefined): boolean {
    const deployment = host.getDeployment();
    if (deployment === undefined || dataCentre === undefined) return false;
    return getRegion(deployment, dataCentre) !==
      getRegion(deployment, host.dataCentre);
  }

  function findDataCentre(matches: (member: Member) => boolean) {
    return host.getMembers().find(matches)?.dataCentre;
  }

  return {
    isHostInOtherRegion: (id) =>
      isInOtherRegion(findDataCentre((each) => each.host === id)),
    isPeerInOtherRegion: (address) =>
      isInOtherRegion(findDataCentre((each) => each.peerAddress === address)),
    isUpstreamInOtherRegion(address) {
      const upstreams = host.getDeployment()?.upstreams ?? [];
      return isInOtherRegion(
        upstreams.find((each) => each.address === address)?.dataCentre,
      );
    },
  };
}
