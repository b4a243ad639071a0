/**
 * Determines the owner of each upstream's slots: a live host of the upstream's
 * data centre, chosen by rendezvous hashing over the members that this host
 * knows.
 *
 * A suspect stays a candidate until it is dead. Otherwise a lost datagram would
 * move ownership away and back, and for a time after each move only half the
 * limit is granted.
 *
 * @module
 */

import type { Membership } from "../membership/mod.ts";
import { getRegion } from "../placement/mod.ts";
import type { Deployment, Upstream } from "../types.ts";
import type { FleetPolicy } from "./types.ts";

/** Dependencies of the choice of owners. */
export interface OwnershipHost {
  readonly membership: Pick<Membership, "getUsable">;
  readonly policy: Pick<FleetPolicy, "tryGetOwner">;
  getDeployment(): Deployment | undefined;
}

/** An upstream whose owner has changed. */
export interface OwnerChange {
  readonly upstream: Upstream;
  readonly owner: string;
  /** `undefined` when no owner was known. */
  readonly previous: string | undefined;
}

/** The owners that this host knows. */
export interface Ownership {
  get(upstream: string): string | undefined;
  /** Upstreams that the host owns. */
  getOwnedBy(host: string): readonly string[];
  /** Determines the owners again and returns those that changed. */
  update(): readonly OwnerChange[];
}

/** Creates the ownership without owners. */
export function createOwnership(host: OwnershipHost): Ownership {
  const owners = new Map<string, string>();

  /**
   * Live hosts of the data centre; without any, those of the region; without
   * any, all.
   */
  function getCandidates(
    deployment: Deployment,
    dataCentre: string,
  ): readonly string[] {
    const usable = host.membership.getUsable();
    const inDataCentre = usable.filter((each) =>
      each.dataCentre === dataCentre
    );
    if (inDataCentre.length > 0) return inDataCentre.map((each) => each.host);
    const region = getRegion(deployment, dataCentre);
    const inRegion = usable.filter((each) =>
      getRegion(deployment, each.dataCentre) === region
    );
    const chosen = inRegion.length > 0 ? inRegion : usable;
    return chosen.map((each) => each.host);
  }

  return {
    get: (upstream) => owners.get(upstream),
    getOwnedBy: (owner) =>
      [...owners].filter(([, each]) => each === owner).map(([id]) => id),
    update() {
      const deployment = host.getDeployment();
      const upstreams = deployment?.upstreams ?? [];
      const declared = new Set(upstreams.map((each) => each.id));
      for (const id of owners.keys()) {
        if (!declared.has(id)) owners.delete(id);
      }
      const byDataCentre = new Map<string, readonly string[]>();
      const changes: OwnerChange[] = [];
      for (const upstream of upstreams) {
        const { id, dataCentre } = upstream;
        const candidates = byDataCentre.get(dataCentre) ??
          getCandidates(deployment!, dataCentre);
        byDataCentre.set(dataCentre, candidates);
        const owner = host.policy.tryGetOwner(`slots/${id}`, candidates);
        const previous = owners.get(id);
        if (owner === undefined || owner === previous) continue;
        owners.set(id, owner);
        changes.push({ upstream, owner, previous });
      }
      return changes;
    },
  };
}
