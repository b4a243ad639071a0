/**
 * Decides which load reports a host sends, and to which hosts.
 *
 * Load: 390 hosts that use the same upstreams. Harm prevented: if each host
 * reports to each other one (full mesh), a round of 80 hosts takes 6,300
 * datagrams, half of them over the link between regions. To limit that traffic,
 * rounds would have to be 0.8 s apart, in which hosts send prompts to upstreams
 * that others have filled meanwhile. In a fleet of more than a few hosts, reports
 * are therefore added up along a tree (`aggregation_tree.ts`): a host adds what
 * its children report to its own use and reports the sum to its parent. The root
 * of a data centre exchanges such sums with those of the others, and the sum
 * over the fleet comes back down. A round of 80 hosts in 6 data centres takes
 * 190 datagrams, 30 of them between data centres.
 *
 * A host subtracts from the sum over the fleet what it has itself reported. A
 * host that takes another parent, or is no root any more, withdraws its last
 * report by an empty one, as it would be counted twice until it expires.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import { type AggregationTree, REPORT_TTL_MS } from "./aggregation_tree.ts";
import { addReports, EMPTY_CONTENT, subtractReport } from "./report_sums.ts";
import type {
  IncludedReport,
  LoadContent,
  LoadPeer,
  LoadReport,
  LoadScope,
} from "./types.ts";

/** Dependencies of the load reporter, supplied by the process. */
export interface LoadReporterHost {
  readonly clock: Clock;
  readonly self: LoadPeer;
  readonly tree: AggregationTree;
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
}

/**
 * Own reports kept in order to subtract them from aggregates: one per period,
 * for 1.5 s.
 */
const MAX_OWN_REPORTS = 16;

/** Own reports are numbered from the time in units of this many ms. */
const SEQUENCE_UNIT_MS = 10;

/** Sender name of the use of all other hosts, whoever has sent it. */
export const FLEET_SENDER = "fleet";

interface ReceivedReport {
  readonly report: LoadReport;
  readonly receivedMs: number;
}

interface RootReport extends ReceivedReport {
  /** When the root's first sum came. */
  readonly firstMs: number;
}

/** Which kind of reports go to which hosts. */
interface Destination {
  readonly scope: LoadScope;
  readonly to: readonly string[];
}

/** Creates the reporter of a host that has received no reports. */
export function createLoadReporter(host: LoadReporterHost): LoadReporter {
  const { clock, self, tree } = host;
  const ownReports: LoadReport[] = [];
  /** Reports of the children, by peer address. */
  const childReports = new Map<string, ReceivedReport>();
  /** Sums of data centres, by the peer address of the root. */
  const rootReports = new Map<string, RootReport>();
  /** The use of all hosts but this one and its children, from the parent. */
  let fromParent: ReceivedReport | undefined;
  /** Sums of other roots that are due to be passed on. */
  let passedOn: OutgoingReport[] = [];
  let lastDestination: Destination = { scope: "host", to: [] };
  let wasIdle = false;
  // Later than that of an earlier process, so that a report of that one is not
  // taken for one of this process and subtracted.
  let sequence = Math.floor(clock.wallMs() / SEQUENCE_UNIT_MS) % 2 ** 31;

  function createReport(
    scope: LoadScope,
    content: LoadContent,
    included: readonly IncludedReport[] = [],
  ): LoadReport {
    sequence++;
    return {
      ...content,
      from: self.peerAddress,
      sequence,
      scope,
      dataCentre: self.dataCentre,
      included,
    };
  }

  function getAgeMs({ receivedMs }: ReceivedReport): number {
    return clock.monotonicMs() - receivedMs;
  }

  function removeExpired(received: Map<string, ReceivedReport>): void {
    for (const [from, each] of received) {
      if (getAgeMs(each) > REPORT_TTL_MS) received.delete(from);
    }
  }

  function getChildReports(): readonly LoadReport[] {
    removeExpired(childReports);
    return [...childReports.values()].map((each) => each.report);
  }

  /** Whether another root of its data centre has come since its last sum. */
  function isReplaced({ report, receivedMs }: RootReport): boolean {
    return [...rootReports.values()].some((each) =>
      each.report.dataCentre === report.dataCentre && each.firstMs > receivedMs
    );
  }

  function getRootReports(): readonly LoadReport[] {
    removeExpired(rootReports);
    return [...rootReports.values()]
      .filter((each) => !isReplaced(each))
      .map((each) => each.report);
  }

  /** The use of all hosts that are neither this one nor its children. */
  function getRemoteContents(): readonly LoadContent[] {
    const isRoot = tree.tryGetParent() === undefined;
    const fromRoots = getRootReports();
    const isKnown = fromParent !== undefined &&
      getAgeMs(fromParent) <= REPORT_TTL_MS;
    // After a change of its place a host keeps what it knew until it hears more.
    if (!isKnown || (isRoot && fromRoots.length > 0)) return fromRoots;
    return [fromParent!.report];
  }

  function applyOthers(contents: readonly LoadContent[]): void {
    const others = createReport("fleet", addReports(contents));
    host.onOthersLoad({ ...others, from: FLEET_SENDER });
  }

  /** Applies the sum over the fleet that the parent has sent. */
  function receiveFromParent(report: LoadReport): void {
    const ownDigest = host.getDigest(self.peerAddress);
    const entry = report.included.find((each) => each.host === ownDigest);
    const own = ownReports.find((each) => each.sequence === entry?.sequence);
    // If this host's own report is no longer kept, it cannot be subtracted, and
    // this host's use would be counted twice.
    if (entry !== undefined && own === undefined) return;
    const others = own === undefined ? report : subtractReport(report, own);
    fromParent = { report: others, receivedMs: clock.monotonicMs() };
    applyOthers([others, ...getChildReports()]);
  }

  /** Returns the sum for the children, which each subtract their own part. */
  function createFleetReports(
    own: LoadContent,
    children: readonly LoadReport[],
  ): readonly OutgoingReport[] {
    if (children.length === 0) return [];
    const content = addReports([own, ...children, ...getRemoteContents()]);
    const included = children.map(({ from, sequence }): IncludedReport => ({
      host: host.getDigest(from),
      sequence,
    }));
    const report = createReport("fleet", content, included);
    return [{ to: children.map((each) => each.from), report }];
  }

  /** Withdraws the last report from those that the next one does not go to. */
  function createWithdrawals(next: Destination): readonly OutgoingReport[] {
    const { scope, to } = lastDestination;
    lastDestination = next;
    const kept = next.scope === scope ? next.to : [];
    const left = to.filter((each) => !kept.includes(each));
    if (left.length === 0) return [];
    return [{ to: left, report: createReport(scope, EMPTY_CONTENT) }];
  }

  /** Sends this host's part of the fleet's load to the destination. */
  function createUpwardReports(
    destination: Destination,
    content: LoadContent,
  ): readonly OutgoingReport[] {
    const { scope, to } = destination;
    const withdrawals = createWithdrawals(destination);
    const report = createReport(scope, content);
    ownReports.push(report);
    if (ownReports.length > MAX_OWN_REPORTS) ownReports.shift();
    return [...withdrawals, { to, report }];
  }

  function getDestination(): Destination {
    const parent = tree.tryGetParent();
    return parent === undefined
      ? { scope: "data-centre", to: tree.getOtherRoots() }
      : { scope: "host", to: [parent] };
  }

  function createTreeReports(): readonly OutgoingReport[] {
    tree.update();
    const destination = getDestination();
    const own = host.createOwnContent();
    const children = getChildReports();
    const isLeaf = destination.scope === "host" && children.length === 0;
    if (!isLeaf) applyOthers([...children, ...getRemoteContents()]);
    return [
      ...createUpwardReports(
        destination,
        addReports([own, ...children]),
      ),
      ...createFleetReports(own, children),
    ];
  }

  function takePassedOn(): readonly OutgoingReport[] {
    const reports = passedOn;
    passedOn = [];
    return reports;
  }

  /** A host that becomes idle reports this once and then sends nothing. */
  function createFullMeshReports(): readonly OutgoingReport[] {
    const content = host.createOwnContent();
    const isIdle = content.upstreams.length === 0;
    const isReported = isIdle && wasIdle;
    wasIdle = isIdle;
    if (isReported) return [];
    const to = host.getHosts()
      .map((each) => each.peerAddress)
      .filter((each) => each !== self.peerAddress);
    return createUpwardReports({ scope: "host", to }, content);
  }

  function receiveFromRoot(report: LoadReport): void {
    const { from: peerAddress, dataCentre } = report;
    const next = tree.tryGetNext({ peerAddress, dataCentre });
    if (next !== undefined) passedOn.push({ to: [next], report });
    const known = rootReports.get(peerAddress);
    if (isWithdrawn(report)) rootReports.delete(peerAddress);
    else {
      const receivedMs = clock.monotonicMs();
      const firstMs = known?.firstMs ?? receivedMs;
      rootReports.set(peerAddress, { report, receivedMs, firstMs });
    }
  }

  function receiveFromChild(report: LoadReport): void {
    if (isWithdrawn(report)) childReports.delete(report.from);
    else {
      const receivedMs = clock.monotonicMs();
      childReports.set(report.from, { report, receivedMs });
    }
  }

  function tryGetLast({ from, scope }: LoadReport): ReceivedReport | undefined {
    switch (scope) {
      case "host":
        return childReports.get(from);
      case "data-centre":
        return rootReports.get(from);
      case "fleet":
        return fromParent?.report.from === from ? fromParent : undefined;
    }
  }

  /** Datagrams may arrive out of order, above all those that are passed on. */
  function isOutdated(report: LoadReport): boolean {
    const last = tryGetLast(report);
    return last !== undefined && getAgeMs(last) <= REPORT_TTL_MS &&
      report.sequence < last.report.sequence;
  }

  return {
    createReports() {
      if (!tree.isUsed()) return createFullMeshReports();
      return [...takePassedOn(), ...createTreeReports()];
    },
    receive(report) {
      // A sum may be passed on to the host that sent it.
      if (report.from === self.peerAddress || isOutdated(report)) return;
      tree.recordReport({ ...report, isWithdrawal: isWithdrawn(report) });
      if (report.scope === "data-centre") receiveFromRoot(report);
      else if (report.scope === "fleet") {
        if (report.from === tree.tryGetParent()) receiveFromParent(report);
      } else if (!tree.isUsed()) host.onOthersLoad(report);
      else if (tree.getChildren().includes(report.from)) {
        receiveFromChild(report);
      } else childReports.delete(report.from);
    },
  };
}

/** Whether the sender withdraws its earlier reports of this scope. */
function isWithdrawn({ hosts, upstreams, teams }: LoadReport): boolean {
  return hosts === 0 && upstreams.length === 0 && teams.length === 0;
}
