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
 * Everything here counts by table. Were contact with one table to count for the
 * other, hosts that hear of the upstreams would not notice that nobody reads the
 * configuration, and would refuse requests on routes that operators have added.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { Fact } from "../membership/mod.ts";
import { isNewer, type TablePosition } from "./positions.ts";
import { FAILURE_MEMORY_MS } from "./reader_selection.ts";

/** The tables that are passed on. */
export type TableName = "config" | "upstreams";

/** Names of the tables that are passed on. */
export const TABLE_NAMES: readonly TableName[] = ["config", "upstreams"];

/** What a reader tells of one table, besides where its newest change stands. */
export interface TableReport extends TablePosition {
  /** Since the platform last answered the reader itself; absent for never. */
  readonly readMsAgo?: number;
  /** Since the platform turned the reader away, in ms; absent if it did not. */
  readonly turnedAwayMsAgo?: number;
}

/** What a reader tells of itself. */
export interface ReaderReport {
  readonly peerAddress: string;
  readonly tables: Readonly<Record<TableName, TableReport>>;
}

/** What passing on needs of the process. */
export interface TableDistributionHost {
  readonly clock: Clock;
  readonly peerAddress: string;
  /** Wall milliseconds of this process's start. */
  readonly incarnation: number;
  /** To all hosts within one network delay, one datagram for each. */
  pushFact(fact: Fact): void;
  /** To all hosts by gossip. */
  spreadFact(fact: Fact): void;
  countHosts(): number;
  /** Up to which this host knows the table. */
  getPosition(table: TableName): TablePosition;
  /** Of the newest change that this host has of the table. */
  getChangedPosition(table: TableName): TablePosition;
  /** Gets a table that is behind from the reader named. */
  fetch(table: TableName, peerAddress: string): void;
}

/** The reports of this host and of others. */
export interface TableDistribution {
  /** This host has read the table; `changed` when its copy is another now. */
  recordRead(table: TableName, changed: boolean): void;
  /** The platform has turned this host away, or did not answer. */
  recordFailure(table: TableName): void;
  /** Takes in another host's report. */
  receive(fact: Fact): void;
  hasRecentFailure(table: TableName, peerAddress: string): boolean;
  /** Time since a reader last read the table, this host included, in ms. */
  getUnconfirmedMs(table: TableName): number;
  /** Whether some host was turned away within the time given, in ms. */
  hadOutageWithin(ms: number): boolean;
}

/**
 * Key prefix of the facts that carry reports. It names their form: while a fleet
 * is replaced, hosts pass by reports of a form that they can't read, and follow
 * the platform by themselves if they hear no others.
 */
export const REPORT_KEY_PREFIX = "table-reader/";

/** Between two confirmations of a table without a change, in ms. */
const CONFIRM_MS = 700;

/**
 * Up to so many hosts a confirmation goes straight to all: three readers then
 * send 100 datagrams each for each table in a second, 54 KB/s (computed). By
 * gossip a confirmation takes seven rounds to reach 80 hosts, 1.8 s of the two
 * after which a host reads the platform itself. Larger fleets gossip it.
 */
const MAX_PUSH_HOSTS = 100;

/** What a host knows of who reads one table, in monotonic ms. */
interface TableReadState {
  /** When some host read it last, this one included. */
  confirmedMs: number;
  /**
   * When this host read it last. Reports carry this alone: were hosts to pass on
   * what others said, each way would make it seem fresher by its delay, and an
   * outage with many reports would look like contact.
   */
  readMs: number;
  /** The last of this host's readings that the others were told. */
  reportedMs: number;
  /** When hosts were turned away, by peer address, this host included. */
  readonly lastFailureMs: Map<string, number>;
}

/** Makes the reports of a host that knows none. */
export function createTableDistribution(
  host: TableDistributionHost,
): TableDistribution {
  const { clock } = host;
  const states: Readonly<Record<TableName, TableReadState>> = {
    config: createTableReadState(),
    upstreams: createTableReadState(),
  };
  let lastOutageMs = -Infinity;
  let reportVersion = 0;

  function createTableReport(table: TableName): TableReport {
    const { readMs, lastFailureMs } = states[table];
    return {
      // Up to which it was read rises with each change of any table: told, it
      // would have every host fetch a copy that it has, at each report.
      ...host.getChangedPosition(table),
      readMsAgo: getAgeMs(readMs),
      turnedAwayMsAgo: getAgeMs(lastFailureMs.get(host.peerAddress)),
    };
  }

  /** Whole ms since then; `undefined` for never, which JSON leaves out. */
  function getAgeMs(sinceMs: number | undefined): number | undefined {
    if (sinceMs === undefined || sinceMs === -Infinity) return undefined;
    return Math.round(clock.monotonicMs() - sinceMs);
  }

  function publish(isUrgent: boolean): void {
    const report: ReaderReport = {
      peerAddress: host.peerAddress,
      tables: {
        config: createTableReport("config"),
        upstreams: createTableReport("upstreams"),
      },
    };
    reportVersion++;
    const fact = {
      // A restarted host counts from the start again, under another key.
      key: `${REPORT_KEY_PREFIX}${host.peerAddress}/${host.incarnation}`,
      version: reportVersion,
      value: JSON.stringify(report),
    };
    for (const table of TABLE_NAMES) {
      states[table].reportedMs = states[table].readMs;
    }
    if (isUrgent || host.countHosts() <= MAX_PUSH_HOSTS) host.pushFact(fact);
    else host.spreadFact(fact);
  }

  function setLastFailure(
    table: TableName,
    peerAddress: string,
    sinceMs: number,
  ): void {
    states[table].lastFailureMs.set(peerAddress, sinceMs);
    lastOutageMs = Math.max(lastOutageMs, sinceMs);
  }

  function receiveTableReport(
    table: TableName,
    peerAddress: string,
    report: TableReport,
  ): void {
    const { readMsAgo, turnedAwayMsAgo } = report;
    const state = states[table];
    const nowMs = clock.monotonicMs();
    if (turnedAwayMsAgo === undefined) state.lastFailureMs.delete(peerAddress);
    else setLastFailure(table, peerAddress, nowMs - turnedAwayMsAgo);
    if (readMsAgo !== undefined) {
      state.confirmedMs = Math.max(state.confirmedMs, nowMs - readMsAgo);
    }
    if (isNewer(report, host.getPosition(table))) {
      host.fetch(table, peerAddress);
    }
  }

  function hasRecentFailure(table: TableName, peerAddress: string): boolean {
    const sinceMs = states[table].lastFailureMs.get(peerAddress);
    if (sinceMs === undefined) return false;
    return clock.monotonicMs() - sinceMs < FAILURE_MEMORY_MS;
  }

  return {
    recordRead(table, changed) {
      const state = states[table];
      const nowMs = clock.monotonicMs();
      state.confirmedMs = nowMs;
      state.readMs = nowMs;
      const hadFailed = state.lastFailureMs.delete(host.peerAddress);
      const isUrgent = changed || hadFailed;
      if (isUrgent || nowMs - state.reportedMs >= CONFIRM_MS) publish(isUrgent);
    },
    recordFailure(table) {
      lastOutageMs = clock.monotonicMs();
      // A host may pass itself over only for as long as the others do. Were it to
      // count from its last failure, of which nobody heard, all would leave the
      // table to the first in rank, and these to one another.
      if (hasRecentFailure(table, host.peerAddress)) return;
      // The others replace a reader at once. Told again, it is no news for them.
      const isUrgent = !states[table].lastFailureMs.has(host.peerAddress);
      setLastFailure(table, host.peerAddress, lastOutageMs);
      publish(isUrgent);
    },
    receive(fact) {
      const { peerAddress, tables } = JSON.parse(fact.value) as ReaderReport;
      for (const table of TABLE_NAMES) {
        receiveTableReport(table, peerAddress, tables[table]);
      }
    },
    hasRecentFailure,
    getUnconfirmedMs: (table) =>
      clock.monotonicMs() - states[table].confirmedMs,
    hadOutageWithin: (ms) => clock.monotonicMs() - lastOutageMs < ms,
  };
}

function createTableReadState(): TableReadState {
  return {
    confirmedMs: -Infinity,
    readMs: -Infinity,
    reportedMs: -Infinity,
    lastFailureMs: new Map(),
  };
}
