/**
 * Distributes the platform's tables from the hosts that read them to all other
 * hosts. A reader reports the positions of its tables to all hosts, on each
 * change and at intervals. A host that lacks a reported version fetches the
 * table from that reader.
 *
 * Failure prevented: the platform rejects a third of the hosts, or loses its
 * change history, while an operator revokes an API key. Without the
 * distribution those hosts would go on using the old configuration. With it
 * they have the new one a round trip after the first reader, and never an older
 * one than before.
 *
 * All state is kept per table. If a successful read of one table counted for
 * the other, hosts that receive the list of upstreams would not notice that no
 * host reads the configuration, and would refuse requests on routes that
 * operators have added.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { Fact } from "../membership/mod.ts";
import { isNewer, type TablePosition } from "./positions.ts";
import { FAILURE_MEMORY_MS } from "./reader_selection.ts";
import { tryDecodeReport } from "./table_copies.ts";

/** The tables that are distributed. */
export type TableName = "config" | "upstreams";

export const TABLE_NAMES: readonly TableName[] = ["config", "upstreams"];

/**
 * A reader's report on one table: the position of the table's newest change,
 * and the outcome of the reader's own reads.
 */
export interface TableReport extends TablePosition {
  /**
   * Time since the reader's last successful read, in ms; absent if there is
   * none.
   */
  readonly readMsAgo?: number;
  /**
   * Time since the reader's last read failed, in ms; absent if it did not fail.
   */
  readonly turnedAwayMsAgo?: number;
}

/** A reader's report on all tables. */
export interface ReaderReport {
  readonly peerAddress: string;
  readonly tables: Readonly<Record<TableName, TableReport>>;
}

/** Dependencies of the table distribution. */
export interface TableDistributionHost {
  readonly clock: Clock;
  readonly peerAddress: string;
  /** Wall-clock start time of this process, in ms. */
  readonly incarnation: number;
  /** Sends the fact directly to all hosts, one datagram each. */
  broadcast(fact: Fact): void;
  /** Spreads the fact to all hosts by gossip. */
  gossip(fact: Fact): void;
  countHosts(): number;
  /** The position up to which this host's replica is current. */
  getPosition(table: TableName): TablePosition;
  /** The position of the newest change in this host's replica. */
  getChangedPosition(table: TableName): TablePosition;
  /** Called with the first read of a table after an outage. */
  onOutageEnded(outage: TableOutage): void;
  /** Called with the key of a fact that makes no sense here. */
  onUnreadable(key: string): void;
  /** Called when the host at the address has a version that this one lacks. */
  onNewer(
    table: TableName,
    peerAddress: string,
    position: TablePosition,
  ): void;
}

/** An outage of a table that has ended: no host could read it. */
export interface TableOutage {
  readonly table: TableName;
  /** Time between the last read before it and the first one after it, in ms. */
  readonly lastedMs: number;
  /** Number of hosts that are known to have tried. */
  readonly failedHosts: number;
}

/** How a read of a table is recorded. */
export interface ReadOptions {
  /** Whether it may be reported to the other hosts; default true. */
  readonly mayReport?: boolean;
}

/** Sends this host's reports and evaluates those of other hosts. */
export interface TableDistribution {
  /**
   * Records that this host has read the table from the platform; `changed`
   * tells whether its replica changed. Reports it if that is due.
   */
  recordRead(table: TableName, changed: boolean, options?: ReadOptions): void;
  /** Records that the platform rejected this host's read or did not answer. */
  recordFailure(table: TableName): void;
  /** Processes another host's report. */
  receive(fact: Fact): void;
  hasRecentFailure(table: TableName, peerAddress: string): boolean;
  /**
   * Time since any host, including this one, last read the table from the
   * platform, in ms.
   */
  getUnconfirmedMs(table: TableName): number;
  /**
   * Monotonic time in ms at which the last outage of the table ended, as known
   * here; `-Infinity` without any.
   */
  getOutageEndMs(table: TableName): number;
}

/**
 * Key prefix of the gossiped facts that carry reports. It identifies the format
 * of the report: during a rolling upgrade, hosts ignore reports in a format
 * that they can't read, and read the platform themselves if they receive no
 * others.
 */
export const REPORT_KEY_PREFIX = "table-reader/";

/** Minimum interval between two reports without a change, in ms. */
const CONFIRM_MS = 700;

/**
 * In fleets of up to this many hosts, reports without a change are sent
 * directly to all hosts. Three readers then send 100 datagrams each per table
 * and second, 54 KB/s (computed). By gossip a report would take seven rounds to
 * reach 80 hosts, which is 1.8 s of the 2 s after which a host reads the
 * platform itself. Larger fleets use gossip to bound the traffic.
 */
const MAX_DIRECT_HOSTS = 100;

/**
 * Without a read by any host for this time, in ms, the platform may have been
 * away. Shorter outages let no entry of an upstream expire, since that takes
 * three missed heartbeats, and hosts replace lost readers sooner.
 */
const MIN_OUTAGE_MS = 2_400;

/**
 * Number of hosts whose reads must have failed meanwhile. A single host may be
 * cut off from the platform while all readers are lost.
 */
const MIN_OUTAGE_HOSTS = 2;

/**
 * What this host knows about the reads of one table; times are monotonic ms.
 */
interface TableReadState {
  /** Time of the last successful read by any host, including this one. */
  confirmedMs: number;
  /**
   * Time of this host's own last successful read. Only this is reported. If
   * hosts also reported what they heard from others, each hop would make a read
   * look newer by the network delay, and frequent reports during an outage
   * would look like contact with the platform.
   */
  readMs: number;
  /** The value of `readMs` that was last reported to the other hosts. */
  reportedMs: number;
  /** End of the last outage. */
  outageEndMs: number;
  /**
   * Time of each host's last failed read by peer address, including this host.
   */
  readonly lastFailureMs: Map<string, number>;
}

/** Creates the table distribution of a host that has received no reports. */
export function createTableDistribution(
  host: TableDistributionHost,
): TableDistribution {
  const { clock } = host;
  const states: Readonly<Record<TableName, TableReadState>> = {
    config: createTableReadState(),
    upstreams: createTableReadState(),
  };
  let reportVersion = 0;

  function createTableReport(table: TableName): TableReport {
    const { readMs, lastFailureMs } = states[table];
    return {
      // Report the position of the newest change, not the position read. The
      // latter rises with each change to any table, so each report would make
      // every host fetch a copy that it already has.
      ...host.getChangedPosition(table),
      readMsAgo: getAgeMs(readMs),
      turnedAwayMsAgo: getAgeMs(lastFailureMs.get(host.peerAddress)),
    };
  }

  /** Age in whole ms; `undefined` for "never", which JSON omits. */
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
      // A restarted host counts versions from 1 again, under another key.
      key: `${REPORT_KEY_PREFIX}${host.peerAddress}/${host.incarnation}`,
      version: reportVersion,
      value: JSON.stringify(report),
    };
    for (const table of TABLE_NAMES) {
      states[table].reportedMs = states[table].readMs;
    }
    if (isUrgent || host.countHosts() <= MAX_DIRECT_HOSTS) host.broadcast(fact);
    else host.gossip(fact);
  }

  /** Records that some host read the table at that time. */
  function confirm(table: TableName, atMs: number): void {
    const state = states[table];
    if (atMs <= state.confirmedMs) return;
    const sinceMs = state.confirmedMs;
    const lastedMs = atMs - sinceMs;
    state.confirmedMs = atMs;
    if (lastedMs < MIN_OUTAGE_MS || lastedMs === Infinity) return;
    const failedHosts = countFailedSince(state, sinceMs);
    if (failedHosts < Math.min(MIN_OUTAGE_HOSTS, host.countHosts())) return;
    state.outageEndMs = atMs;
    host.onOutageEnded({ table, lastedMs, failedHosts });
  }

  function receiveTableReport(
    table: TableName,
    peerAddress: string,
    report: TableReport,
  ): void {
    const { readMsAgo, turnedAwayMsAgo } = report;
    const state = states[table];
    const nowMs = clock.monotonicMs();
    // A host that reads again no longer reports that it had failed.
    if (readMsAgo !== undefined) confirm(table, nowMs - readMsAgo);
    if (turnedAwayMsAgo === undefined) state.lastFailureMs.delete(peerAddress);
    else state.lastFailureMs.set(peerAddress, nowMs - turnedAwayMsAgo);
    if (isNewer(report, host.getPosition(table))) {
      host.onNewer(table, peerAddress, report);
    }
  }

  function hasRecentFailure(table: TableName, peerAddress: string): boolean {
    const sinceMs = states[table].lastFailureMs.get(peerAddress);
    if (sinceMs === undefined) return false;
    return clock.monotonicMs() - sinceMs < FAILURE_MEMORY_MS;
  }

  return {
    recordRead(table, changed, { mayReport = true } = {}) {
      const state = states[table];
      const nowMs = clock.monotonicMs();
      confirm(table, nowMs);
      state.readMs = nowMs;
      const hadFailed = state.lastFailureMs.delete(host.peerAddress);
      if (!mayReport) return;
      const isUrgent = changed || hadFailed;
      if (isUrgent || nowMs - state.reportedMs >= CONFIRM_MS) publish(isUrgent);
    },
    recordFailure(table) {
      // A host must exclude itself for no longer than the other hosts exclude
      // it. If it counted from its last failure, which it reports to nobody,
      // all other hosts would leave the table to the hosts that rank first, and
      // those hosts to each other.
      if (hasRecentFailure(table, host.peerAddress)) return;
      // The first failure is urgent because the other hosts replace this reader
      // at once. A repeated failure is not.
      const { lastFailureMs } = states[table];
      const isUrgent = !lastFailureMs.has(host.peerAddress);
      lastFailureMs.set(host.peerAddress, clock.monotonicMs());
      publish(isUrgent);
    },
    receive(fact) {
      const report = tryDecodeReport(fact.value);
      if (report === undefined) return host.onUnreadable(fact.key);
      const { peerAddress, tables } = report;
      for (const table of TABLE_NAMES) {
        receiveTableReport(table, peerAddress, tables[table]);
      }
    },
    hasRecentFailure,
    getUnconfirmedMs: (table) =>
      clock.monotonicMs() - states[table].confirmedMs,
    getOutageEndMs: (table) => states[table].outageEndMs,
  };
}

function createTableReadState(): TableReadState {
  return {
    confirmedMs: -Infinity,
    readMs: -Infinity,
    reportedMs: -Infinity,
    outageEndMs: -Infinity,
    lastFailureMs: new Map(),
  };
}

/** Number of hosts whose last read failed after the time given. */
function countFailedSince(
  { lastFailureMs }: TableReadState,
  sinceMs: number,
): number {
  return [...lastFailureMs.values()].filter((atMs) => atMs > sinceMs).length;
}
