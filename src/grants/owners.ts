/**
 * Chooses the owner of each upstream: the host that admits prompts to it.
 *
 * Load: hosts with a fraction of a core that look owners up hundreds of times
 * per second. Failure prevented: a choice among all hosts for each lookup would
 * be costly there. Choices are kept for a tenth of a second.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import { isFullMesh, type LoadPeer } from "../load/mod.ts";
import { tryGetOwner } from "../membership/mod.ts";

/** Dependencies of the choice. */
export interface GrantOwnersHost<T extends LoadPeer> {
  nowMs(): number;
  /** The hosts that are alive, this one included. */
  getHosts(): readonly T[];
  isFull(host: T): boolean;
  /** Returns the data centre of an upstream; `undefined` if it is unknown. */
  tryGetDataCentre(upstream: string): string | undefined;
}

/** The owners of the upstreams. */
export interface GrantOwners {
  /** Whether the fleet is so large that prompts need grants. */
  isEnabled(): boolean;
  /** Returns the peer address of the upstream's owner. */
  tryGetOwner(upstream: string): string | undefined;
}

/** Time for which choices are kept, in ms. */
const CHOICE_TTL_MS = 100;

/** Creates the choice of owners. */
export function createGrantOwners<T extends LoadPeer>(
  host: GrantOwnersHost<T>,
): GrantOwners {
  const owners = new Map<string, string | undefined>();
  let hosts: readonly T[] = [];
  let updatedMs = -Infinity;

  function update(): void {
    if (host.nowMs() - updatedMs < CHOICE_TTL_MS) return;
    updatedMs = host.nowMs();
    hosts = host.getHosts();
    owners.clear();
  }

  /**
   * The hosts of the data centre that are not full. A data centre without hosts
   * is served from elsewhere, and its upstreams are owned there.
   */
  function getCandidates(dataCentre: string): readonly string[] {
    const near = hosts.filter((each) => each.dataCentre === dataCentre);
    const among = near.length > 0 ? near : hosts;
    const withRoom = among.filter((each) => !host.isFull(each));
    return (withRoom.length > 0 ? withRoom : among)
      .map((each) => each.peerAddress);
  }

  function choose(upstream: string): string | undefined {
    const dataCentre = host.tryGetDataCentre(upstream);
    if (dataCentre === undefined) return undefined;
    return tryGetOwner(upstream, getCandidates(dataCentre));
  }

  return {
    isEnabled() {
      update();
      return !isFullMesh(hosts.length);
    },
    tryGetOwner(upstream) {
      update();
      return getOrCreate(owners, upstream, () => choose(upstream));
    },
  };
}
