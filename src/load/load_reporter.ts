/**
 * Decides which reports of load a host sends, and to whom.
 *
 * Load: 390 hosts before the same upstreams. Harm prevented: each host telling
 * each other takes 6,300 datagrams for one round of 80 hosts, half of them over
 * the link between regions; to bound that, news came each 0.8 s, so that hosts
 * sent upstreams what others had filled meanwhile. In a fleet of more than a few
 * hosts one host of each data centre adds up: it hears its own data centre's
 * hosts, exchanges sums with its likes, and tells its hosts the sum over the
 * fleet. That is 190 datagrams for a round of 80 hosts in 6 data centres, 30 of
 * them between data centres. A host takes its own part out of the sum.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import { tryGetOwner } from "../membership/mod.ts";
import { addReports, subtractReport } from "./report_sums.ts";
import type { LoadContent, LoadReport } from "./types.ts";

/** A host that takes part. */
export interface LoadPeer {
  readonly peerAddress: string;
  readonly dataCentre: string;
}

/** What the sums need of the process. */
export interface LoadReporterHost {
  readonly clock: Clock;
  readonly self: LoadPeer;
  /** The hosts that are alive, this one included. */
  getHosts(): readonly LoadPeer[];
  getDigest(name: string): number;
  /** This host's own use. */
  createOwnContent(): LoadContent;
  /** The use of other hosts is known anew; replaces what the sender told. */
  onOthersLoad(report: LoadReport): void;
}

/** A report on its way. */
export interface OutgoingReport {
  readonly to: readonly string[];
  readonly report: LoadReport;
}

/** Reports of one host. */
export interface LoadReporter {
  /** What is to be sent now; asked for once in each period. */
  createReports(): readonly OutgoingReport[];
  receive(report: LoadReport): void;
  /** Time until the next reports, in ms. */
  getPeriodMs(): number;
}

/** Up to so many hosts each tells each other: 15 datagrams a round and host. */
export const MAX_FULL_MESH_HOSTS = 16;

/** Between two rounds, in ms; half the time in which a usual prompt is read. */
const MIN_PERIOD_MS = 100;

/**
 * The host that adds up hears and tells each host of its data centre once a
 * round: with more of them less often, so that it handles no more than some 250
 * datagrams a second, 2% of a core.
 */
const PERIOD_MS_PER_HOST = 8;

/** Older reports count for nothing: their sender is gone, or cut off, in ms. */
export const REPORT_TTL_MS = 1_500;

/** Own reports are kept to be taken out of sums; one in a period, for 1.5 s. */
const MAX_OWN_REPORTS = 16;

/** Sender of sums over the fleet, whichever host of the data centre adds up. */
export const FLEET_SENDER = "fleet";

interface ReceivedReport {
  readonly report: LoadReport;
  readonly receivedMs: number;
}

/** Makes the sums of a host that has heard nothing. */
export function createLoadReporter(host: LoadReporterHost): LoadReporter {
  const { clock, self } = host;
  const ownReports: LoadReport[] = [];
  /** Of hosts of this data centre, by peer address. */
  const hostReports = new Map<string, ReceivedReport>();
  /** Sums of the others, by data centre. */
  const dataCentreReports = new Map<string, ReceivedReport>();
  let sequence = 0;
  let wasIdle = false;

  function isFullMesh(): boolean {
    return host.getHosts().length <= MAX_FULL_MESH_HOSTS;
  }

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

  /** Reports of the hosts of this data centre that are alive. */
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
    // One that is too old to be taken out would count this host twice.
    if (entry !== undefined && own === undefined) return;
    const others = own === undefined ? report : subtractReport(report, own);
    host.onOthersLoad({ ...others, from: FLEET_SENDER });
  }

  /** What the host that adds up sends. */
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

  /** An idle host says so once and is silent then. */
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
      if (isFullMesh()) return createFullMeshReports();
      const own = createOwnReport();
      const aggregator = getAggregator(host.getHosts(), self.dataCentre);
      if (aggregator === self.peerAddress) return createAggregates(own);
      return [{ to: [aggregator], report: own }];
    },
    receive(report) {
      const received = { report, receivedMs: clock.monotonicMs() };
      if (report.scope === "data-centre") {
        dataCentreReports.set(report.dataCentre, received);
      } else if (isFullMesh()) {
        if (report.scope === "host") host.onOthersLoad(report);
      } else if (report.scope === "host") {
        hostReports.set(report.from, received);
      } else applyFleetReport(report);
    },
    getPeriodMs() {
      const perHost = isFullMesh() ? 0 : PERIOD_MS_PER_HOST;
      return Math.max(MIN_PERIOD_MS, getOwnDataCentreHosts().length * perHost);
    },
  };
}

function getDataCentres(hosts: readonly LoadPeer[]): readonly string[] {
  return [...new Set(hosts.map((each) => each.dataCentre))];
}

/** The host that adds up for a data centre: all hosts choose the same. */
function getAggregator(hosts: readonly LoadPeer[], dataCentre: string): string {
  const addresses = hosts
    .filter((each) => each.dataCentre === dataCentre)
    .map((each) => each.peerAddress);
  return tryGetOwner(dataCentre, addresses) ?? "";
}
