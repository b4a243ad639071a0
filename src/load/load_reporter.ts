/**
 * Decides which load reports a host sends, and to which hosts.
 *
 * Load: 390 hosts that use the same upstreams. Harm prevented: if each host
 * reports to each other one (full mesh), a round of 80 hosts takes 6,300
 * datagrams, half of them over the link between regions. To limit that traffic,
 * rounds would have to be 0.8 s apart, in which hosts send prompts to upstreams
 * that others have filled meanwhile. In a fleet of more than a few hosts, one
 * host of each data centre is therefore its aggregator: it receives the reports
 * of its data centre's hosts, exchanges aggregates with the other aggregators,
 * and sends its hosts the aggregate over the fleet. A round of 80 hosts in 6
 * data centres then takes 190 datagrams, 30 of them between data centres. Each
 * host subtracts its own report from the aggregate over the fleet.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import { tryGetOwner } from "../membership/mod.ts";
import { addReports, subtractReport } from "./report_sums.ts";
import type { LoadContent, LoadReport } from "./types.ts";

/** A host that exchanges load reports. */
export interface LoadPeer {
  readonly peerAddress: string;
  readonly dataCentre: string;
}

/** Dependencies of the load reporter, supplied by the process. */
export interface LoadReporterHost {
  readonly clock: Clock;
  readonly self: LoadPeer;
  /** The hosts that are alive, this one included. */
  getHosts(): readonly LoadPeer[];
  getDigest(name: string): number;
  /** Returns this host's own use. */
  createOwnContent(): LoadContent;
  /** Receives the use of other hosts; replaces the sender's previous report. */
  onOthersLoad(report: LoadReport): void;
}

/** A report with the peer addresses of its receivers. */
export interface OutgoingReport {
  readonly to: readonly string[];
  readonly report: LoadReport;
}

/** Creates the reports of one host, and receives those of others. */
export interface LoadReporter {
  /** Returns the reports of one round; called once in each period. */
  createReports(): readonly OutgoingReport[];
  receive(report: LoadReport): void;
  /** Time until the next round, in ms. */
  getPeriodMs(): number;
}

/**
 * Fleets of up to this many hosts use a full mesh, with at most 15 datagrams
 * per host and round.
 */
export const MAX_FULL_MESH_HOSTS = 16;

/**
 * Least time between two rounds: half of the time that the prefill of a typical
 * prompt takes.
 */
const MIN_PERIOD_MS = 100;

/**
 * Least period of the rounds, per host of the data centre. In every round the
 * aggregator receives a report from each of these hosts and sends one to each.
 * The period grows with their number, so that the aggregator handles at most
 * about 250 datagrams per second, which takes 2% of a core.
 */
const PERIOD_MS_PER_HOST = 8;

/**
 * Reports older than this are dropped, in ms: their sender has stopped or
 * cannot be reached.
 */
export const REPORT_TTL_MS = 1_500;

/**
 * Own reports kept in order to subtract them from aggregates: one per period,
 * for 1.5 s.
 */
const MAX_OWN_REPORTS = 16;

/** See `getUnderservedRetentionMs`. */
const UNDERSERVED_RETENTION_MS = 1_000;

/** Sender name of fleet aggregates, whichever host is the aggregator. */
export const FLEET_SENDER = "fleet";

interface ReceivedReport {
  readonly report: LoadReport;
  readonly receivedMs: number;
}

/** Whether the hosts of a fleet of this size report directly to each other. */
export function isFullMesh(hosts: number): boolean {
  return hosts <= MAX_FULL_MESH_HOSTS;
}

/**
 * Time in ms for which an upstream counts as awaited after a prompt of an
 * underserved team has waited for it, in a fleet of this size. Where reports are
 * older than a prefill, overserved teams would otherwise take the room before
 * the team's next prompt arrives.
 */
export function getUnderservedRetentionMs(hosts: number): number {
  return isFullMesh(hosts) ? 0 : UNDERSERVED_RETENTION_MS;
}

/** Creates the reporter of a host that has received no reports. */
export function createLoadReporter(host: LoadReporterHost): LoadReporter {
  const { clock, self } = host;
  const ownReports: LoadReport[] = [];
  /** Reports of this data centre's hosts, by peer address. */
  const hostReports = new Map<string, ReceivedReport>();
  /** Aggregates of the other data centres, by data centre. */
  const dataCentreReports = new Map<string, ReceivedReport>();
  let sequence = 0;
  let wasIdle = false;

  function getOwnDataCentreHosts(): readonly LoadPeer[] {
    return host.getHosts()
      .filter((each) => each.dataCentre === self.dataCentre);
  }

  function createReport(
    scope: LoadReport["scope"],
    content: LoadContent,
  ): LoadReport {
    sequence++;
    return {
      ...content,
      from: self.peerAddress,
      sequence,
      scope,
      dataCentre: self.dataCentre,
      included: [],
    };
  }

  function createOwnReport(): LoadReport {
    const report = createReport("host", host.createOwnContent());
    ownReports.push(report);
    if (ownReports.length > MAX_OWN_REPORTS) ownReports.shift();
    return report;
  }

  function getFreshReports(
    received: Map<string, ReceivedReport>,
  ): readonly LoadReport[] {
    const nowMs = clock.monotonicMs();
    for (const [from, { receivedMs }] of received) {
      if (nowMs - receivedMs > REPORT_TTL_MS) received.delete(from);
    }
    return [...received.values()].map((each) => each.report);
  }

  /** Returns the reports of this data centre's hosts that are alive. */
  function getLiveHostReports(): readonly LoadReport[] {
    const alive = new Set(
      getOwnDataCentreHosts().map((each) => each.peerAddress),
    );
    return getFreshReports(hostReports).filter((each) => alive.has(each.from));
  }

  function applyFleetReport(report: LoadReport): void {
    const ownDigest = host.getDigest(self.peerAddress);
    const entry = report.included.find((each) => each.host === ownDigest);
    const own = ownReports.find((each) => each.sequence === entry?.sequence);
    // If this host's own report is no longer kept, it cannot be subtracted, and
    // this host's use would be counted twice.
    if (entry !== undefined && own === undefined) return;
    const others = own === undefined ? report : subtractReport(report, own);
    host.onOthersLoad({ ...others, from: FLEET_SENDER });
  }

  /** Returns the reports that the aggregator sends. */
  function createAggregates(own: LoadReport): readonly OutgoingReport[] {
    const hosts = host.getHosts();
    const liveReports = getLiveHostReports();
    const localReports = [own, ...liveReports];
    const remoteReports = getFreshReports(dataCentreReports);
    const included = localReports.map(({ from, sequence }) => ({
      host: host.getDigest(from),
      sequence,
    }));
    const dataCentre = createReport("data-centre", addReports(localReports));
    const total = addReports([...localReports, ...remoteReports]);
    const fleet = { ...createReport("fleet", total), included };
    applyFleetReport(fleet);
    const others = getDataCentres(hosts)
      .filter((each) => each !== self.dataCentre)
      .map((each) => getAggregator(hosts, each));
    const ownHosts = getOwnDataCentreHosts()
      .map((each) => each.peerAddress)
      .filter((each) => each !== self.peerAddress);
    return [
      { to: others, report: dataCentre },
      { to: ownHosts, report: fleet },
    ];
  }

  /** A host that becomes idle reports this once and then sends nothing. */
  function createFullMeshReports(): readonly OutgoingReport[] {
    const report = createOwnReport();
    const isIdle = report.upstreams.length === 0;
    const isReported = isIdle && wasIdle;
    wasIdle = isIdle;
    if (isReported) return [];
    const to = host.getHosts()
      .map((each) => each.peerAddress)
      .filter((each) => each !== self.peerAddress);
    return [{ to, report }];
  }

  return {
    createReports() {
      if (isFullMesh(host.getHosts().length)) return createFullMeshReports();
      const own = createOwnReport();
      const aggregator = getAggregator(host.getHosts(), self.dataCentre);
      if (aggregator === self.peerAddress) return createAggregates(own);
      return [{ to: [aggregator], report: own }];
    },
    receive(report) {
      const received = { report, receivedMs: clock.monotonicMs() };
      if (report.scope === "data-centre") {
        dataCentreReports.set(report.dataCentre, received);
      } else if (isFullMesh(host.getHosts().length)) {
        if (report.scope === "host") host.onOthersLoad(report);
      } else if (report.scope === "host") {
        hostReports.set(report.from, received);
      } else applyFleetReport(report);
    },
    getPeriodMs() {
      const perHost = isFullMesh(host.getHosts().length)
        ? 0
        : PERIOD_MS_PER_HOST;
      return Math.max(MIN_PERIOD_MS, getOwnDataCentreHosts().length * perHost);
    },
  };
}

/** Returns the data centres of the hosts, each once. */
export function getDataCentres(hosts: readonly LoadPeer[]): readonly string[] {
  return [...new Set(hosts.map((each) => each.dataCentre))];
}

/** Returns the aggregator of a data centre; all hosts choose the same one. */
export function getAggregator(
  hosts: readonly LoadPeer[],
  dataCentre: string,
): string {
  const addresses = hosts
    .filter((each) => each.dataCentre === dataCentre)
    .map((each) => each.peerAddress);
  return tryGetOwner(dataCentre, addresses) ?? "";
}
