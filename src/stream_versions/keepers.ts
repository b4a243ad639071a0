/**
 * Chooses the hosts that keep at which software version a stream began.
 *
 * Load: a host is lost, or a whole data centre. Failure prevented: all copies
 * are lost together with the host that began the stream.
 *
 * @module
 */

import { rankByRendezvous } from "../membership/mod.ts";
import type { KeeperHost } from "./types.ts";

/** Number of hosts that keep one stream. */
const KEEPERS = 3;

/**
 * Returns the peer addresses of the keepers: by rendezvous hashing the first
 * host of each data centre, and the next ones if there are too few.
 */
export function chooseKeepers(
  digest: string,
  hosts: readonly KeeperHost[],
): readonly string[] {
  const dataCentreOf = new Map(
    hosts.map((each) => [each.peerAddress, each.dataCentre]),
  );
  const ranked = rankByRendezvous(digest, [...dataCentreOf.keys()]);
  const firsts: string[] = [];
  const others: string[] = [];
  const taken = new Set<string>();
  for (const address of ranked) {
    const dataCentre = dataCentreOf.get(address)!;
    if (taken.has(dataCentre)) others.push(address);
    else firsts.push(address);
    taken.add(dataCentre);
  }
  return [...firsts, ...others].slice(0, KEEPERS);
}
