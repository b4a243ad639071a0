/**
 * Seeds the membership with hosts of the settings or of the platform's machine
 * list. The list may be out of date, so a listed host counts as a member only
 * after it responded to a probe.
 *
 * @module
 */

import type { Membership } from "../membership/mod.ts";
import type { ListedMachine } from "../platform/mod.ts";

/** A host of the settings or of the platform's list. */
export type SeedHost = Pick<ListedMachine, "id" | "dataCentre" | "address">;

/** Replaces the seeds by the live routers of the machine list. */
export function setSeedsFromList(
  membership: Membership,
  machines: readonly ListedMachine[],
): void {
  const live = machines.filter((machine) =>
    machine.role === "router" && machine.state === "live"
  );
  setSeeds(membership, live);
}

/**
 * Replaces the seeds: hosts to probe although they are not known as members.
 */
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
