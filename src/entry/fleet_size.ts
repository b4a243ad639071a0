/**
 * The number of hosts by which a host takes its part of the fleet's limits.
 *
 * @module
 */

import type { Member } from "../membership/mod.ts";

/**
 * Returns the hosts that may be serving callers. One that is taken for dead may
 * only be cut off from this host, so that it counts until it is forgotten.
 */
export function getServingHosts(
  members: readonly Member[],
): readonly Member[] {
  return members.filter((each) => each.state !== "leaving");
}
