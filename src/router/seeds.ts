/**
 * The platform's list as a seed of the membership: it lags, so a host that it
 * names is asked before it counts as a member.
 *
 * @module
 */

import type { Membership } from "../membership/mod.ts";
import type { ListedMachine } from "../platform/mod.ts";

/** A host as the settings or the platform's list name it. */
export type SeedHost = Pick<ListedMachine, "id" | "dataCentre" | "address">;

/** Takes the live routers of the list in. */
export function setSeedsFromList(
  membership: Membership,
  machines: readonly ListedMachine[],
): void {
  const live = machines.filter((machine) =>
    machine.role === "router" && machine.state === "live"
  );
  setSeeds(membership, live);
}

/** Replaces the hosts that are asked when they are not known. */
export function setSeeds(
  membership: Membership,
  seeds: readonly SeedHost[],
): void {
  membership.setSeeds(seeds.map(({ id, dataCentre, address }) => ({
    host: id,
    dataCentre,
    peerAddress: address,
  })));
}
