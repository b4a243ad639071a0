/**
 * Decides along which tree the hosts of a large fleet add up what they report:
 * the host that this one reports to (its parent), those that report to it (its
 * children), and with which hosts a root, which has no parent, exchanges the
 * sums of data centres.
 *
 * Load: 390 hosts that start at once, of which each knows a different part of
 * the others for half a minute. Failure prevented: one host of each data centre
 * adds up for all others, and hosts disagree about which one that is. If it
 * counted and answered those that it knows, others would go without sums, and
 * would take the upstreams for free.
 *
 * What a host knows of the fleet therefore tells only where to send. Whoever
 * reports to a host is counted and answered by it:
 * - A host reports to that host of its data centre which ranks highest of those
 *   that it knows, and so does that one. Ranks rise from host to host, so that
 *   reports never go in a circle.
 * - Roots of one data centre that do not know each other each send the sum of
 *   those that report to them. A root answers those whose sums it gets. A sum
 *   that comes to another host than a root, or to a root that knows a higher one
 *   of the sender's data centre, is passed on to that one. So roots get to know
 *   each other, and all but the highest become children.
 * - A parent that does not answer is passed over.
 *
 * @module
 */

import { type Clock, getOrCreate } from "../core/mod.ts";
import { tryGetOwner } from "../membership/mod.ts";
import type { LoadPeer, LoadReport } from "./types.ts";

/** Dependencies of the tree, supplied by the process. */
export interface AggregationTreeHost {
  readonly clock: Clock;
  readonly self: LoadPeer;
  /** The hosts that are alive, as far as known, this one included. */
  getHosts(): readonly LoadPeer[];
  /**
   * The hosts that the platform lists, while this one has not met them yet; 0 if
   * absent. Hosts that are gone for good may be among them.
   */
  countListedHosts?(): number;
}

/** The place of this host in the tree. */
export interface AggregationTree {
  /** Whether reports go along the tree, rather than to each other host. */
  isUsed(): boolean;
  /** Chooses the parent anew; called before each round of load reports. */
  update(): void;
  /** Records that another host sent this report, or withdrew what it sent. */
  recordReport(report: ReportSource): void;
  /** Peer address of the parent; `undefined` for a root. */
  tryGetParent(): string | undefined;
  /** Peer addresses of the hosts that have reported to this one lately. */
  getChildren(): readonly string[];
  /**
   * Peer addresses of the hosts to which a root sends its sum: the other roots
   * that it has heard of, and the highest host of each data centre that it knows
   * and that does not report to it.
   */
  getOtherRoots(): readonly string[];
  /**
   * Peer address of the host to which the sum of another root is passed on;
   * `undefined` if it need not be.
   */
  tryGetNext(root: LoadPeer): string | undefined;
  /** Time between two rounds of load reports, in ms. */
  getPeriodMs(): number;
}

/** The place of a host, for what else is sent along the tree. */
export type TreePlace = Pick<
  AggregationTree,
  "isUsed" | "tryGetParent" | "getChildren" | "getOtherRoots"
>;

/** What the tree reads of a report. */
export type ReportSource =
  & Pick<LoadReport, "from" | "scope" | "dataCentre">
  & { readonly isWithdrawal: boolean };

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
 * root receives a report from each of these hosts and sends one to each. The
 * period grows with their number, so that it handles at most about 500 datagrams
 * per second, which takes 4% of a core.
 */
const PERIOD_MS_PER_HOST = 4;

/**
 * Reports older than this are dropped, in ms: their sender has stopped or
 * cannot be reached.
 */
export const REPORT_TTL_MS = 1_500;

/** A parent is passed over when it has been silent for this time, in ms. */
const PARENT_SILENCE_MS = 300;

/** The same in rounds, where these are long. */
const PARENT_SILENCE_ROUNDS = 3;

/** Time for which a silent parent is passed over, in ms. */
const PASSED_OVER_MS = 10_000;

/** Whether the hosts of a fleet of this size report directly to each other. */
export function isFullMesh(hosts: number): boolean {
  return hosts <= MAX_FULL_MESH_HOSTS;
}

interface HeardRoot extends LoadPeer {
  readonly heardMs: number;
}

/** Creates the tree of a host that has heard of no report. */
export function createAggregationTree(
  host: AggregationTreeHost,
): AggregationTree {
  const { clock, self } = host;
  let parent: string | undefined;
  let parentHeardMs = -Infinity;
  /** When a host last reported to this one without being its child. */
  let fullMeshHeardMs = -Infinity;
  /** Whether the parent was alive to this host, not only known by answers. */
  let wasParentAlive = false;
  /** When the hosts of this data centre last reported to this one. */
  const childrenHeardMs = new Map<string, number>();
  /** Roots that sent the sum of a data centre, by peer address. */
  const heardRoots = new Map<string, HeardRoot>();
  const silentMs = new Map<string, number>();

  const isWithin = (ms: number, ttlMs: number) =>
    clock.monotonicMs() - ms <= ttlMs;

  function getOwnDataCentreHosts(): readonly string[] {
    return host.getHosts()
      .filter((each) => each.dataCentre === self.dataCentre)
      .map((each) => each.peerAddress);
  }

  function getPeriodMs(): number {
    const perHost = isUsed() ? PERIOD_MS_PER_HOST : 0;
    return Math.max(MIN_PERIOD_MS, getOwnDataCentreHosts().length * perHost);
  }

  function isUsed(): boolean {
    const known = host.getHosts().length;
    // Hosts that know the fleet and report to all others know it for small.
    if (isWithin(fullMeshHeardMs, REPORT_TTL_MS)) return !isFullMesh(known);
    return !isFullMesh(Math.max(known, host.countListedHosts?.() ?? 0));
  }

  function removeExpired(): void {
    for (const [child, heardMs] of childrenHeardMs) {
      if (!isWithin(heardMs, REPORT_TTL_MS)) childrenHeardMs.delete(child);
    }
    for (const [root, { heardMs }] of heardRoots) {
      if (!isWithin(heardMs, REPORT_TTL_MS)) heardRoots.delete(root);
    }
    for (const [silent, sinceMs] of silentMs) {
      if (!isWithin(sinceMs, PASSED_OVER_MS)) silentMs.delete(silent);
    }
  }

  function isParentSilent(): boolean {
    const limitMs = Math.max(
      PARENT_SILENCE_MS,
      PARENT_SILENCE_ROUNDS * getPeriodMs(),
    );
    return parent !== undefined && !isWithin(parentHeardMs, limitMs);
  }

  function chooseParent(): string | undefined {
    const candidates = [
      ...getOwnDataCentreHosts(),
      ...getHeardRoots(self.dataCentre),
    ];
    // A parent that is only known by its answers.
    if (parent !== undefined && !wasParentAlive) candidates.push(parent);
    const among = [
      self.peerAddress,
      ...candidates.filter((each) => !silentMs.has(each)),
    ];
    const highest = tryGetOwner(self.dataCentre, among);
    return highest === self.peerAddress ? undefined : highest;
  }

  function getHeardRoots(dataCentre: string): readonly string[] {
    return [...heardRoots.values()]
      .filter((each) => each.dataCentre === dataCentre)
      .map((each) => each.peerAddress);
  }

  /** Whether the host is another one that does not report to this one. */
  function isNoChild({ peerAddress }: LoadPeer): boolean {
    return peerAddress !== self.peerAddress &&
      !childrenHeardMs.has(peerAddress);
  }

  function recordSender(report: ReportSource): void {
    const { from, scope, dataCentre } = report;
    const heardMs = clock.monotonicMs();
    switch (scope) {
      case "host":
        if (mayBeChild(report)) childrenHeardMs.set(from, heardMs);
        else fullMeshHeardMs = heardMs;
        return;
      case "data-centre":
        heardRoots.set(from, { peerAddress: from, dataCentre, heardMs });
        return;
      case "fleet":
        if (from === parent) parentHeardMs = heardMs;
        return;
    }
  }

  /** Hosts report to higher ones of their data centre only. */
  function mayBeChild({ from, dataCentre }: ReportSource): boolean {
    return dataCentre === self.dataCentre &&
      tryGetOwner(dataCentre, [from, self.peerAddress]) === self.peerAddress;
  }

  return {
    isUsed,
    getPeriodMs,
    update() {
      removeExpired();
      const nowMs = clock.monotonicMs();
      if (isParentSilent()) silentMs.set(parent!, nowMs);
      const chosen = chooseParent();
      if (chosen !== parent) parentHeardMs = nowMs;
      parent = chosen;
      wasParentAlive = parent !== undefined &&
        getOwnDataCentreHosts().includes(parent);
    },
    recordReport(report) {
      if (report.isWithdrawal) {
        const known = report.scope === "host" ? childrenHeardMs : heardRoots;
        known.delete(report.from);
      } else recordSender(report);
    },
    tryGetParent: () => parent,
    getChildren: () => [...childrenHeardMs.keys()],
    getOtherRoots() {
      const heard = [...heardRoots.values()];
      const hosts = [...host.getHosts().filter(isNoChild), ...heard];
      const highest = [...groupByDataCentre(hosts)]
        .map(([dataCentre, addresses]) => tryGetOwner(dataCentre, addresses)!);
      return [...new Set([...heardRoots.keys(), ...highest])];
    },
    tryGetNext({ peerAddress, dataCentre }) {
      if (parent !== undefined) return parent;
      if (dataCentre === self.dataCentre) return undefined;
      const highest = tryGetOwner(dataCentre, getHeardRoots(dataCentre));
      return highest === peerAddress ? undefined : highest;
    },
  };
}

function groupByDataCentre(
  hosts: readonly LoadPeer[],
): ReadonlyMap<string, readonly string[]> {
  const groups = new Map<string, string[]>();
  for (const { peerAddress, dataCentre } of hosts) {
    getOrCreate(groups, dataCentre, () => []).push(peerAddress);
  }
  return groups;
}
