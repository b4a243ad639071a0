/**
 * Tracks which hosts are full, meaning that they take no new callers at
 * present. Hosts gossip this to each other.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { Fact, Member } from "../membership/mod.ts";
import { INTAKE_WINDOW_MS } from "./intake.ts";

/** The full hosts as this host knows them. */
export interface FullHosts {
  /** Processes another host's fact. */
  receive(fact: Fact): void;
  /** Creates the fact that announces this host's own state. */
  createFact(isFull: boolean): Fact;
  isFull(peerAddress: string): boolean;
  /**
   * Whether this host may be full as well. At most half of the hosts in a data
   * centre may be. If more are overloaded, those with the highest addresses
   * continue to take callers; all hosts apply this rule alike.
   */
  mayBeFull(members: readonly Member[]): boolean;
}

/** Dependencies of the view of full hosts. */
export interface FullHostsHost {
  readonly clock: Clock;
  readonly peerAddress: string;
  readonly dataCentre: string;
  /**
   * Identifies this run of the host, since a restarted host's facts need new
   * keys.
   */
  readonly incarnation: number;
}

/** Key prefix of the facts about full hosts. */
export const FULL_KEY_PREFIX = "full/";

/**
 * Validity of a report that a host is full, in ms. A full host repeats its
 * report each second; without a new report it counts as not full.
 */
const REPORT_TTL_MS = 3 * INTAKE_WINDOW_MS;

/** Maximum share of a data centre's hosts that may be full at the same time. */
const MAX_FULL_SHARE = 1 / 2;

/** Creates the view of a host that has received no reports. */
export function createFullHosts(host: FullHostsHost): FullHosts {
  const { clock, peerAddress } = host;
  const reportedMs = new Map<string, number>();
  let version = 0;

  const isFull = (address: string) =>
    clock.monotonicMs() - (reportedMs.get(address) ?? -Infinity) <
      REPORT_TTL_MS;

  return {
    isFull,
    receive(fact) {
      const [, from] = fact.key.split("/");
      if (from === undefined || from === peerAddress) return;
      if (fact.value === "full") reportedMs.set(from, clock.monotonicMs());
      else reportedMs.delete(from);
    },
    createFact(isOwnFull) {
      version++;
      return {
        key: `${FULL_KEY_PREFIX}${peerAddress}/${host.incarnation}`,
        version,
        value: isOwnFull ? "full" : "room",
      };
    },
    mayBeFull(members) {
      const addresses = members
        .filter((each) => each.dataCentre === host.dataCentre)
        .map((each) => each.peerAddress);
      const fullBefore = addresses
        .filter((each) => each < peerAddress && isFull(each));
      const allowed = Math.floor(addresses.length * MAX_FULL_SHARE);
      return fullBefore.length < allowed;
    },
  };
}
