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
export interface LoadSumsHost {
  readonly clock: Clock;
  readonly self: LoadPeer;
  /** The hosts that are alive, this one included. */
  getHosts(): readonly LoadPeer[];
  getDigest(name: string): number;
  /** This host's own use. */
  createOwn(): LoadContent;
  /** The use of other hosts is known anew; replaces what the sender told. */
  onOthers(report: LoadReport): void;
}

/** A report on its way. */
export interface OutgoingReport {
  readonly to: readonly string[];
  readonly report: LoadReport;
}

/** Reports of one host. */
export interface LoadSums {
  /** What is to be sent now; asked for once in each period. */
  createReports(): readonly OutgoingReport[];
  receive(report: LoadReport): void;
  /** Time until the next reports, in ms. */
  getPeriodMs(): number;
}

/** Up to so many hosts each tells each other: 15 datagrams a round and host. */
export const MAX_DIRECT_HOSTS = 16;

/** Between two rounds, in ms; half the time in which a usual prompt is read. */
const MIN_PERIOD_MS = 100;

/**
 * The host that adds up hears and tells each host of its data centre once a
 * round: with more of them less often, so that it handles no more than some 250
 * datagrams a second, 2% of a core.
 */
const PERIOD_MS_PER_HOST = 8;

/** Older reports count for nothing: their sender is gone, or cut off, in ms. */
export const REPORT_KEEP_MS = 1_500;

/** Own reports are kept to be taken out of sums; one in a period, for 1.5 s. */
const MAX_OWN_REPORTS = 16;

/** Sender of sums over the fleet, whichever host of the data centre adds up. */
export const FLEET_SENDER = "fleet";

interface Heard {
  readonly report: LoadReport;
  readonly atMs: number;
}

/** Makes the sums of a host that has heard nothing. */
export function createLoadSums(host: LoadSumsHost): LoadSums {
  const { clock, self } = host;
  const ownReports: LoadReport[] = [];
  /** Of hosts of this data centre, by peer address. */
  const ofHosts = new Map<string, Heard>();
  /** Sums of the others, by data centre. */
  const ofDataCentres = new Map<string, Heard>();
  let sequence = 0;
  let wasIdle = false;

  function isDirect(): boolean {
    return host.getHosts().length <= MAX_DIRECT_HOSTS;
  }

  function getOwnDataCentre(): readonly LoadPeer[] {
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
    const report = createReport("host", host.createOwn());
    ownReports.push(report);
    if (ownReports.length > MAX_OWN_REPORTS) ownReports.shift();
    return report;
  }

  function getFresh(heard: Map<string, Heard>): readonly LoadReport[] {
    const nowMs = clock.monotonicMs();
    for (const [from, { atMs }] of heard) {
      if (nowMs - atMs > REPORT_KEEP_MS) heard.delete(from);
    }
    return [...heard.values()].map((each) => each.report);
  }

  /** Reports of the hosts of this data centre that are alive. */
  function getOfLiveHosts(): readonly LoadReport[] {
    const alive = new Set(getOwnDataCentre().map((each) => each.peerAddress));
    return getFresh(ofHosts).filter((each) => alive.has(each.from));
  }

  function takeFleet(report: LoadReport): void {
    const ownDigest = host.getDigest(self.peerAddress);
    const entry = report.included.find((each) => each.host === ownDigest);
    const own = ownReports.find((each) => each.sequence === entry?.sequence);
    // One that is too old to be taken out would count this host twice.
    if (entry !== undefined && own === undefined) return;
    const others = own === undefined ? report : subtractReport(report, own);
    host.onOthers({ ...others, from: FLEET_SENDER });
  }

  /** What the host that adds up sends. */
  function createSums(own: LoadReport): readonly OutgoingReport[] {
    const hosts = host.getHosts();
    const heard = getOfLiveHosts();
    const ofOwn = [own, ...heard];
    const foreign = getFresh(ofDataCentres);
    const included = ofOwn.map(({ from, sequence }) => ({
      host: host.getDigest(from),
      sequence,
    }));
    const dataCentre = createReport("data-centre", addReports(ofOwn));
    const total = addReports([...ofOwn, ...foreign]);
    const fleet = { ...createReport("fleet", total), included };
    takeFleet(fleet);
    const others = getDataCentres(hosts)
      .filter((each) => each !== self.dataCentre)
      .map((each) => getAdder(hosts, each));
    const ownHosts = getOwnDataCentre()
      .map((each) => each.peerAddress)
      .filter((each) => each !== self.peerAddress);
    return [
      { to: others, report: dataCentre },
      { to: ownHosts, report: fleet },
    ];
  }

  /** An idle host says so once and is silent then. */
  function createDirect(): readonly OutgoingReport[] {
    const report = createOwnReport();
    const isIdle = report.upstreams.length === 0;
    const isTold = isIdle && wasIdle;
    wasIdle = isIdle;
    if (isTold) return [];
    const to = host.getHosts()
      .map((each) => each.peerAddress)
      .filter((each) => each !== self.peerAddress);
    return [{ to, report }];
  }

  return {
    createReports() {
      if (isDirect()) return createDirect();
      const own = createOwnReport();
      const adder = getAdder(host.getHosts(), self.dataCentre);
      if (adder === self.peerAddress) return createSums(own);
      return [{ to: [adder], report: own }];
    },
    receive(report) {
      const heard = { report, atMs: clock.monotonicMs() };
      if (report.scope === "data-centre") {
        ofDataCentres.set(report.dataCentre, heard);
      } else if (isDirect()) {
        if (report.scope === "host") host.onOthers(report);
      } else if (report.scope === "host") {
        ofHosts.set(report.from, heard);
      } else takeFleet(report);
    },
    getPeriodMs() {
      const perHost = isDirect() ? 0 : PERIOD_MS_PER_HOST;
      return Math.max(MIN_PERIOD_MS, getOwnDataCentre().length * perHost);
    },
  };
}

function getDataCentres(hosts: readonly LoadPeer[]): readonly string[] {
  return [...new Set(hosts.map((each) => each.dataCentre))];
}

/** The host that adds up for a data centre: all hosts choose the same. */
function getAdder(hosts: readonly LoadPeer[], dataCentre: string): string {
  const addresses = hosts
    .filter((each) => each.dataCentre === dataCentre)
    .map((each) => each.peerAddress);
  return tryGetOwner(dataCentre, addresses) ?? "";
}
