/**
 * Passes the platform's tables from the hosts that read them to all others: a
 * reader tells which versions it has, at each change and once in a while, and a
 * host that lacks one fetches the table from it.
 *
 * Failure guarded against: the platform turns away a third of the hosts, or
 * drops its history, while an operator takes a key away. Without this the hosts
 * concerned go on by the old configuration; with it they have the new one a
 * round trip after the first reader, and never an older one than they had.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { Fact } from "../membership/mod.ts";
import { TURNED_AWAY_MS } from "./readers.ts";

/** The tables that are passed on. */
export type TableName = "config" | "upstreams";

/** What a reader tells of itself. */
export interface ReaderReport {
  readonly peerAddress: string;
  /** False: the platform turned it away, or did not answer. */
  readonly isAccepted: boolean;
  readonly versions: Readonly<Record<TableName, number>>;
}

/** What passing on needs of the process. */
export interface PassingOnHost {
  readonly clock: Clock;
  readonly peerAddress: string;
  /** Wall milliseconds of this process's start. */
  readonly incarnation: number;
  /** To all hosts within one network delay, one datagram for each. */
  pushFact(fact: Fact): void;
  /** To all hosts by gossip. */
  spreadFact(fact: Fact): void;
  countHosts(): number;
  /** Version up to which this host knows the table. */
  getVersion(table: TableName): number;
  /** Gets a table that is behind from the reader named. */
  fetch(table: TableName, peerAddress: string): void;
}

/** The reports of this host and of others. */
export interface PassingOn {
  /** This host has read the platform; `changed` when a table is another now. */
  confirm(changed: boolean): void;
  /** The platform has turned this host away. */
  turnedAway(): void;
  /** Takes in another host's report. */
  receive(fact: Fact): void;
  isTurnedAway(peerAddress: string): boolean;
  /** Time since a reader last confirmed, this host included, in ms. */
  getUnconfirmedMs(): number;
  /** Whether some host was turned away within the time given, in ms. */
  wasOutageWithin(ms: number): boolean;
}

/** Key prefix of the facts that carry reports. */
export const REPORT_KEY = "reader/";

/** Between two confirmations without a change, in ms. */
const CONFIRM_MS = 700;

/**
 * Up to so many hosts a confirmation goes straight to all: three readers then
 * send 100 datagrams each in 0.7 s, 20 KB/s (computed). By gossip a confirmation
 * takes seven rounds to reach 80 hosts, 1.8 s of the two after which a host reads
 * the platform itself. Larger fleets gossip it.
 */
const PUSH_ALL_HOSTS = 100;

/** Makes the reports of a host that knows none. */
export function createPassingOn(host: PassingOnHost): PassingOn {
  const turnedAwayMs = new Map<string, number>();
  let confirmedMs = -Infinity;
  let sentMs = -Infinity;
  let lastOutageMs = -Infinity;
  let reports = 0;

  function tell(isAccepted: boolean, isUrgent: boolean): void {
    const report: ReaderReport = {
      peerAddress: host.peerAddress,
      isAccepted,
      versions: {
        config: host.getVersion("config"),
        upstreams: host.getVersion("upstreams"),
      },
    };
    reports++;
    const fact = {
      // A restarted host counts from the start again, under another key.
      key: `${REPORT_KEY}${host.peerAddress}/${host.incarnation}`,
      version: reports,
      value: JSON.stringify(report),
    };
    sentMs = host.clock.monotonicMs();
    if (isUrgent || host.countHosts() <= PUSH_ALL_HOSTS) host.pushFact(fact);
    else host.spreadFact(fact);
  }

  function noteTurnedAway(peerAddress: string): void {
    const nowMs = host.clock.monotonicMs();
    turnedAwayMs.set(peerAddress, nowMs);
    lastOutageMs = nowMs;
  }

  function fetchNewer(report: ReaderReport): void {
    for (const table of ["config", "upstreams"] as const) {
      if (report.versions[table] <= host.getVersion(table)) continue;
      host.fetch(table, report.peerAddress);
    }
  }

  return {
    confirm(changed) {
      const nowMs = host.clock.monotonicMs();
      confirmedMs = nowMs;
      const wasTurnedAway = turnedAwayMs.delete(host.peerAddress);
      const isUrgent = changed || wasTurnedAway;
      if (isUrgent || nowMs - sentMs >= CONFIRM_MS) tell(true, isUrgent);
    },
    turnedAway() {
      const isNew = !turnedAwayMs.has(host.peerAddress);
      noteTurnedAway(host.peerAddress);
      if (isNew) tell(false, true);
    },
    receive(fact) {
      const report = JSON.parse(fact.value) as ReaderReport;
      if (report.isAccepted) {
        turnedAwayMs.delete(report.peerAddress);
        confirmedMs = host.clock.monotonicMs();
      } else noteTurnedAway(report.peerAddress);
      fetchNewer(report);
    },
    isTurnedAway(peerAddress) {
      const sinceMs = turnedAwayMs.get(peerAddress);
      if (sinceMs === undefined) return false;
      return host.clock.monotonicMs() - sinceMs < TURNED_AWAY_MS;
    },
    getUnconfirmedMs: () => host.clock.monotonicMs() - confirmedMs,
    wasOutageWithin: (ms) => host.clock.monotonicMs() - lastOutageMs < ms,
  };
}
