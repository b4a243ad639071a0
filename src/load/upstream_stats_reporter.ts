/**
 * Exchanges the statistics of single upstreams along the tree of the load
 * reports (`load_reporter.ts`), once per second: a host reports to the
 * aggregator of its data centre, the aggregators report to each other, and each
 * sends its hosts the sum over the fleet. Small fleets exchange nothing.
 *
 * Load: 390 hosts and 600 upstreams, in data centres between which traffic is
 * billed by volume.
 *
 * Failure prevented: a host alone has less than one sample per upstream and
 * second. At the rate of the load reports, the statistics would multiply the
 * traffic between data centres.
 *
 * A lost datagram is replaced by that of the next round. The sum that a host
 * receives names the round of its own report in it, so that the host subtracts
 * exactly its own part. A host's report therefore counts only when all its
 * datagrams have arrived; until then, the one before it does.
 *
 * @module
 */

import { type Clock, getOrCreate } from "../core/mod.ts";
import { EMPTY_UPSTREAM_STATS, type UpstreamStats } from "../pacing/mod.ts";
import {
  getAggregator,
  getDataCentres,
  isFullMesh,
  type LoadPeer,
} from "./load_reporter.ts";
import type { LoadScope } from "./types.ts";
import {
  addStatsByUpstream,
  type ReceivedStats,
  type StatsByUpstream,
  trySubtractOwn,
} from "./upstream_stats_totals.ts";

/** One datagram with the statistics of upstreams. */
export interface UpstreamStatsReport {
  /** Peer address of the sender. */
  readonly from: string;
  /** Number of the sender's round. */
  readonly sequence: number;
  readonly scope: LoadScope;
  /** Data centre of the sender. */
  readonly dataCentre: string;
  /** Number of this datagram in its round, from 0, and their count. */
  readonly part: number;
  readonly parts: number;
  /**
   * In an aggregate over the fleet: the round of the receiver's own report that
   * it contains; 0 if it contains none.
   */
  readonly ownSequence: number;
  readonly upstreams: StatsByUpstream;
}

/** A datagram with the peer addresses of its receivers. */
export interface OutgoingUpstreamStats {
  readonly to: readonly string[];
  readonly report: UpstreamStatsReport;
}

/** Dependencies of the exchange, supplied by the process. */
export interface UpstreamStatsReporterHost {
  readonly clock: Clock;
  readonly self: LoadPeer;
  /** The hosts that are alive, this one included. */
  getHosts(): readonly LoadPeer[];
  /** Returns this host's own statistics of the upstreams with samples. */
  createOwnStats(): StatsByUpstream;
}

/** Creates the datagrams of one host, and receives those of others. */
export interface UpstreamStatsReporter {
  /** Returns the datagrams of one round; called once per second. */
  createReports(): readonly OutgoingUpstreamStats[];
  receive(report: UpstreamStatsReport): void;
  /** Returns the statistics of all other hosts for an upstream. */
  getOthersStats(upstream: number): UpstreamStats;
}

/** Time between two rounds, in ms. */
export const STATS_PERIOD_MS = 1_000;

/**
 * Statistics older than this are dropped, in ms: five rounds were lost, or their
 * sender has stopped.
 */
const STATS_TTL_MS = 5_000;

/**
 * Upstreams in one datagram. With 32 bytes for each and up to 140 bytes for the
 * rest, the payload stays below 1,100 bytes.
 */
export const MAX_UPSTREAMS_PER_DATAGRAM = 30;

/**
 * Own reports kept in order to subtract them from aggregates: those of the
 * rounds that an aggregate may still contain.
 */
const MAX_OWN_REPORTS = 12;

interface HostReport {
  readonly sequence: number;
  readonly upstreams: StatsByUpstream;
  readonly receivedMs: number;
}

interface PendingReport {
  readonly sequence: number;
  readonly parts: Map<number, StatsByUpstream>;
}

/** Creates the exchange of a host that has received nothing. */
export function createUpstreamStatsReporter(
  host: UpstreamStatsReporterHost,
): UpstreamStatsReporter {
  const { clock, self } = host;
  const ownReports = new Map<number, StatsByUpstream>();
  /** Complete reports of this data centre's hosts, by peer address. */
  const hostReports = new Map<string, HostReport>();
  const pendingReports = new Map<string, PendingReport>();
  /** Sums of the other data centres, by data centre and upstream. */
  const dataCentreStats = new Map<string, Map<number, ReceivedStats>>();
  /** Sums over all other hosts, by upstream. */
  const othersStats = new Map<number, ReceivedStats>();
  // Starts at the seconds of the wall clock, so that a host does not subtract
  // its own report for one of its earlier process.
  let sequence = Math.floor(clock.wallMs() / 1_000) % 2 ** 31;

  const isExpired = (receivedMs: number) =>
    clock.monotonicMs() - receivedMs > STATS_TTL_MS;

  function removeExpired<K>(
    received: Map<K, { readonly receivedMs: number }>,
  ): void {
    for (const [key, { receivedMs }] of received) {
      if (isExpired(receivedMs)) received.delete(key);
    }
  }

  function clear(): void {
    ownReports.clear();
    hostReports.clear();
    pendingReports.clear();
    dataCentreStats.clear();
    othersStats.clear();
  }

  function createOwnReport(): StatsByUpstream {
    const own = host.createOwnStats();
    ownReports.set(sequence, own);
    ownReports.delete(sequence - MAX_OWN_REPORTS);
    return own;
  }

  function createDatagrams(
    scope: LoadScope,
    parts: readonly StatsByUpstream[],
    ownSequence = 0,
  ): readonly UpstreamStatsReport[] {
    const { peerAddress: from, dataCentre } = self;
    return parts.map((each, part) => ({
      from,
      sequence,
      scope,
      dataCentre,
      part,
      parts: parts.length,
      ownSequence,
      upstreams: each,
    }));
  }

  function receiveFromHost(report: UpstreamStatsReport): void {
    const { from, part, parts, upstreams } = report;
    const latest = Math.max(
      pendingReports.get(from)?.sequence ?? -1,
      hostReports.get(from)?.sequence ?? -1,
    );
    // Datagrams may arrive out of order.
    if (report.sequence < latest) return;
    let pending = pendingReports.get(from);
    if (pending?.sequence !== report.sequence) {
      pending = { sequence: report.sequence, parts: new Map() };
      pendingReports.set(from, pending);
    }
    pending.parts.set(part, upstreams);
    if (pending.parts.size < parts) return;
    pendingReports.delete(from);
    hostReports.set(from, {
      sequence: report.sequence,
      upstreams: addStatsByUpstream([...pending.parts.values()]),
      receivedMs: clock.monotonicMs(),
    });
  }

  function receiveFromDataCentre(report: UpstreamStatsReport): void {
    const known = getOrCreate(
      dataCentreStats,
      report.dataCentre,
      () => new Map(),
    );
    const receivedMs = clock.monotonicMs();
    for (const [upstream, stats] of report.upstreams) {
      known.set(upstream, { stats, receivedMs });
    }
  }

  /** Applies sums over the fleet that contain one of this host's reports. */
  function applyFleetStats(
    upstreams: StatsByUpstream,
    own: StatsByUpstream | undefined,
  ): void {
    const receivedMs = clock.monotonicMs();
    for (const [upstream, sum] of upstreams) {
      const stats = trySubtractOwn(sum, own?.get(upstream));
      if (stats === undefined) othersStats.delete(upstream);
      else othersStats.set(upstream, { stats, receivedMs });
    }
  }

  /** Returns the reports of this data centre's hosts that are alive. */
  function getLiveHostReports(
    ownHosts: readonly string[],
  ): ReadonlyMap<string, HostReport> {
    const alive = new Set(ownHosts);
    for (const from of hostReports.keys()) {
      if (!alive.has(from)) hostReports.delete(from);
    }
    for (const from of pendingReports.keys()) {
      if (!alive.has(from)) pendingReports.delete(from);
    }
    return hostReports;
  }

  function getRemoteStats(): readonly StatsByUpstream[] {
    return [...dataCentreStats.values()].map((received) =>
      new Map([...received].map(([upstream, { stats }]) => [upstream, stats]))
    );
  }

  /** Returns the datagrams that the aggregator sends. */
  function createAggregates(
    hosts: readonly LoadPeer[],
    own: StatsByUpstream,
  ): readonly OutgoingUpstreamStats[] {
    const ownHosts = hosts
      .filter((each) => each.dataCentre === self.dataCentre)
      .map((each) => each.peerAddress)
      .filter((each) => each !== self.peerAddress);
    const reports = getLiveHostReports(ownHosts);
    const local = addStatsByUpstream([
      own,
      ...[...reports.values()].map((each) => each.upstreams),
    ]);
    const total = addStatsByUpstream([local, ...getRemoteStats()]);
    applyFleetStats(total, own);
    const aggregators = getDataCentres(hosts)
      .filter((each) => each !== self.dataCentre)
      .map((each) => getAggregator(hosts, each));
    const toDataCentres = createDatagrams("data-centre", splitStats(local))
      .map((report) => ({ to: aggregators, report }));
    // All hosts share the parts, which the codec encodes only once.
    const parts = splitStats(total);
    const toHosts = ownHosts.flatMap((to) =>
      createDatagrams("fleet", parts, reports.get(to)?.sequence)
        .map((report) => ({ to: [to], report }))
    );
    return [...toDataCentres, ...toHosts];
  }

  return {
    createReports() {
      const hosts = host.getHosts();
      if (isFullMesh(hosts.length)) {
        clear();
        return [];
      }
      sequence++;
      removeExpired(hostReports);
      removeExpired(othersStats);
      dataCentreStats.forEach(removeExpired);
      const own = createOwnReport();
      const aggregator = getAggregator(hosts, self.dataCentre);
      if (aggregator === self.peerAddress) return createAggregates(hosts, own);
      return createDatagrams("host", splitStats(own))
        .map((report) => ({ to: [aggregator], report }));
    },
    receive(report) {
      if (report.scope === "host") receiveFromHost(report);
      else if (report.scope === "data-centre") receiveFromDataCentre(report);
      else {
        applyFleetStats(report.upstreams, ownReports.get(report.ownSequence));
      }
    },
    getOthersStats(upstream) {
      const received = othersStats.get(upstream);
      if (received === undefined || isExpired(received.receivedMs)) {
        return EMPTY_UPSTREAM_STATS;
      }
      return received.stats;
    },
  };
}

function splitStats(upstreams: StatsByUpstream): readonly StatsByUpstream[] {
  const entries = [...upstreams];
  const parts: StatsByUpstream[] = [];
  for (let at = 0; at < entries.length; at += MAX_UPSTREAMS_PER_DATAGRAM) {
    parts.push(new Map(entries.slice(at, at + MAX_UPSTREAMS_PER_DATAGRAM)));
  }
  return parts;
}
