/**
 * Which hosts take no new callers for now, as they have told each other.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { Fact, Member } from "../membership/mod.ts";
import { INTAKE_WINDOW_MS } from "./intake.ts";

/** The full hosts. */
export interface FullHosts {
  /** Takes a fact of another host in. */
  receive(fact: Fact): void;
  /** Makes the fact by which this host tells of itself. */
  createFact(isFull: boolean): Fact;
  isFull(peerAddress: string): boolean;
  /**
   * Whether this host may be full as well: half of its data centre's hosts at
   * most. Of too many the last by address go on; all hosts count alike.
   */
  mayBeFull(members: readonly Member[]): boolean;
}

/** What the view needs of the process. */
export interface FullHostsHost {
  readonly clock: Clock;
  readonly peerAddress: string;
  readonly dataCentre: string;
  /** Of this start; a restarted host's facts are others. */
  readonly incarnation: number;
}

/** Facts of full hosts begin so. */
export const FULL_KEY_PREFIX = "full/";

/** A full host tells so each second; without news it has room, in ms. */
const REPORT_TTL_MS = 3 * INTAKE_WINDOW_MS;

/** Share of a data centre's hosts that may rest at once. */
const MAX_FULL_SHARE = 1 / 2;

/** Makes the view of a host that has heard nothing. */
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
