/**
 * Exchanges the statistics of single upstreams along the tree of the load
 * reports (`aggregation_tree.ts`), once per second: a host reports to its parent
 * for itself and its children, the roots report to each other, and each sends
 * its children the sum over the fleet. Small fleets exchange nothing.
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
import {
  addUpstreamStats,
  EMPTY_UPSTREAM_STATS,
  type UpstreamStats,
} from "../pacing/mod.ts";
import type { TreePlace } from "./aggregation_tree.ts";
import type { LoadPeer, LoadScope } from "./types.ts";
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
  readonly tree: TreePlace;
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
  const { clock, self, tree } = host;
  /** What this host has reported for itself and its children. */
  const ownReports = new Map<number, StatsByUpstream>();
  /** Complete reports of the children, by peer address. */
  const childReports = new Map<string, HostReport>();
  const pendingReports = new Map<string, PendingReport>();
  /** Sums that other roots have sent, by peer address and upstream. */
  const rootStats = new Map<string, Map<number, ReceivedStats>>();
  /** Sums over all hosts but this one and its children, by upstream. */
  const remoteStats = new Map<number, ReceivedStats>();
  let childStats: StatsByUpstream = new Map();
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
    childReports.clear();
    pendingReports.clear();
    rootStats.clear();
    remoteStats.clear();
    childStats = new Map();
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
      childReports.get(from)?.sequence ?? -1,
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
    childReports.set(from, {
      sequence: report.sequence,
      upstreams: addStatsByUpstream([...pending.parts.values()]),
      receivedMs: clock.monotonicMs(),
    });
  }

  function receiveFromRoot(report: UpstreamStatsReport): void {
    const known = getOrCreate(rootStats, report.from, () => new Map());
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
      if (stats === undefined) remoteStats.delete(upstream);
      else remoteStats.set(upstream, { stats, receivedMs });
    }
  }

  function removeAllBut(
    kept: readonly string[],
    bySender: Map<string, unknown>,
  ): void {
    for (const from of bySender.keys()) {
      if (!kept.includes(from)) bySender.delete(from);
    }
  }

  /** Drops what is too old, and what was sent from another place in the tree. */
  function removeOutdated(): void {
    removeExpired(childReports);
    rootStats.forEach(removeExpired);
    removeExpired(remoteStats);
    removeAllBut(tree.getChildren(), childReports);
    removeAllBut(tree.getChildren(), pendingReports);
    removeAllBut(tree.getOtherRoots(), rootStats);
  }

  /** As a root, takes the sums of the other roots for those over all others. */
  function updateRemoteStats(): void {
    const receivedMs = clock.monotonicMs();
    const sums = [...rootStats.values()].map((received) =>
      new Map([...received].map(([upstream, { stats }]) => [upstream, stats]))
    );
    remoteStats.clear();
    for (const [upstream, stats] of addStatsByUpstream(sums)) {
      remoteStats.set(upstream, { stats, receivedMs });
    }
  }

  /** Returns the datagrams for the children, which each subtract their own part. */
  function createFleetDatagrams(
    subtree: StatsByUpstream,
  ): readonly OutgoingUpstreamStats[] {
    const remote = [...remoteStats].map(([upstream, { stats }]) =>
      [upstream, stats] as const
    );
    // All children share the parts, which the codec encodes only once.
    const parts = splitStats(addStatsByUpstream([subtree, new Map(remote)]));
    return tree.getChildren().flatMap((to) =>
      createDatagrams("fleet", parts, childReports.get(to)?.sequence)
        .map((report) => ({ to: [to], report }))
    );
  }

  return {
    createReports() {
      if (!tree.isUsed()) {
        clear();
        return [];
      }
      sequence++;
      removeOutdated();
      childStats = addStatsByUpstream(
        [...childReports.values()].map((each) => each.upstreams),
      );
      const subtree = addStatsByUpstream([host.createOwnStats(), childStats]);
      ownReports.set(sequence, subtree);
      ownReports.delete(sequence - MAX_OWN_REPORTS);
      const parent = tree.tryGetParent();
      const isRoot = parent === undefined;
      if (isRoot) updateRemoteStats();
      const to = isRoot ? tree.getOtherRoots() : [parent];
      const scope = isRoot ? "data-centre" : "host";
      const upward = createDatagrams(scope, splitStats(subtree))
        .map((report) => ({ to, report }));
      return [...upward, ...createFleetDatagrams(subtree)];
    },
    receive(report) {
      if (report.scope === "host") receiveFromHost(report);
      else if (report.scope === "data-centre") receiveFromRoot(report);
      else if (report.from === tree.tryGetParent()) {
        applyFleetStats(report.upstreams, ownReports.get(report.ownSequence));
      }
    },
    getOthersStats(upstream) {
      const received = remoteStats.get(upstream);
      const fromChildren = childStats.get(upstream) ?? EMPTY_UPSTREAM_STATS;
      return received === undefined || isExpired(received.receivedMs)
        ? fromChildren
        : addUpstreamStats(received.stats, fromChildren);
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
