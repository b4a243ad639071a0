/**
 * One node in the tree of service counters of one service. A team's counter is
 * the service that it has received over the fleet, divided by its weight. The
 * next slot goes to the waiting team with the lowest counter.
 *
 * The levels of the tree are slot owner, data centre, region and root. A node
 * adds up its children's reports, reports its own sum to its parent, and takes
 * over the parent's sums (its view). Any message may be lost or duplicated. A
 * report therefore carries the sum since its session began, of which the parent
 * adds only the increase. A raise of a counter is sent as a floor, so that two
 * nodes that raise the same counter do not raise it twice.
 *
 * Load: all teams are backlogged at once and spread unevenly over the hosts.
 * Harm prevented: a team that is served by many hosts gets a full share at each
 * of them.
 *
 * @module
 */

import { dropOldest, getOrCreate } from "../core/mod.ts";
import {
  type ChildState,
  createChildState,
  isBackloggedAtChild,
} from "./children.ts";
import type { CounterReport, CounterView, TeamService } from "./types.ts";

/** Dependencies of a node, supplied by the process. */
export interface CountersHost {
  nowMs(): number;
  /** Returns a session number that no earlier session of this node had. */
  createSession(): number;
}

/** The counters of one service at one node. */
export interface ServiceCounters {
  /** Returns the team's present counter. */
  get(team: string): number;
  /**
   * Adds service that the team received at this node, divided by its weight.
   */
  charge(team: string, amount: number): void;
  /** Records the total service of one request, divided by the team's weight. */
  recordLargest(amount: number): void;
  /** Returns the largest service of one request, divided by the weight. */
  getLargest(): number;
  /** Sets whether the team has requests waiting at this node. */
  setWaiting(team: string, isWaiting: boolean): void;
  isBacklogged(team: string): boolean;
  /** Whether any other team waits anywhere, as far as this node knows. */
  isContended(team: string): boolean;
  /** Sets the parent; a node without a parent is the root of its tree. */
  setParent(parent: string | undefined): void;
  /** Applies a child's report and returns the view to send back. */
  receiveReport(child: string, report: CounterReport): CounterView;
  /**
   * Clears the backlog of a child that is dead. Its service remains in the
   * sums.
   */
  clearChildBacklog(child: string): void;
  /** Returns the report for the parent; `undefined` if none is due. */
  tryGetReport(): CounterReport | undefined;
  receiveView(view: CounterView): void;
}

/**
 * Largest difference between the counters of two backlogged teams, in units of
 * the largest request. Without this cap a region that was partitioned for an
 * hour would bring an hour's difference into the fleet, and the teams with the
 * higher counters would starve until the others have caught up. Eight is well
 * above the spread in normal operation, which the scenario `fairness` shows to
 * be below four.
 */
export const MAX_SPREAD_REQUESTS = 8;

/**
 * Longest time between two reports. A node without changes reports as well,
 * since the reply tells it the backlog at other nodes.
 */
const MAX_REPORT_GAP_MS = 2_000;

/** Reports that a late view may still acknowledge. */
const MAX_UNACKED_SNAPSHOTS = 8;

/** State of one team at this node. Sums are of service divided by weight. */
interface TeamEntry {
  /**
   * Fleet-wide sum known from the parent, with this node's sum up to
   * `ackedSum`.
   */
  knownSum: number;
  /** Service added at this node and its descendants since the node's start. */
  sum: number;
  /** Part of `sum` that `knownSum` contains. */
  ackedSum: number;
  /** Value of `ackedSum` when the session began. */
  sessionBaseSum: number;
  /** Floor that the parent has not acknowledged yet; zero for none. */
  pendingFloor: number;
  isWaiting: boolean;
  /** Whether the team is backlogged anywhere, by the parent's last view. */
  isBackloggedAtParent: boolean;
  /** Backlog of this node's subtree that the parent has acknowledged. */
  ackedBacklogged: boolean;
}

type Snapshot = ReadonlyMap<
  string,
  { readonly sum: number; readonly floor: number; readonly backlogged: boolean }
>;

/** Creates a root node with all counters at zero. */
export function createServiceCounters(host: CountersHost): ServiceCounters {
  const entries = new Map<string, TeamEntry>();
  const children = new Map<string, ChildState>();
  const unackedSnapshots = new Map<number, Snapshot>();
  let parent: string | undefined;
  let session = 0;
  let sequence = 0;
  let isSessionUnanswered = true;
  let virtualTime = 0;
  let largest = 0;
  let lastReportMs = -Infinity;

  function getEntry(team: string): TeamEntry {
    return getOrCreate(entries, team, () => ({
      knownSum: 0,
      sum: 0,
      ackedSum: 0,
      sessionBaseSum: 0,
      pendingFloor: 0,
      isWaiting: false,
      isBackloggedAtParent: false,
      ackedBacklogged: false,
    }));
  }

  function getCounter(entry: TeamEntry): number {
    return entry.knownSum + entry.sum - entry.ackedSum;
  }

  /** Raises the sum known from the parent to a floor; never lowers it. */
  function raiseKnownSum(entry: TeamEntry, floor: number): void {
    if (entry.knownSum >= floor) return;
    entry.knownSum = floor;
    entry.pendingFloor = floor;
  }

  /**
   * Raises the counter, which includes unacknowledged service, to the level.
   */
  function raise(entry: TeamEntry, level: number): void {
    raiseKnownSum(entry, level - (entry.sum - entry.ackedSum));
  }

  function isBackloggedInSubtree(team: string, entry: TeamEntry): boolean {
    if (entry.isWaiting) return true;
    const nowMs = host.nowMs();
    for (const child of children.values()) {
      if (isBackloggedAtChild(child, team, nowMs)) return true;
    }
    return false;
  }

  function isBackloggedAnywhere(team: string, entry: TeamEntry): boolean {
    return entry.isBackloggedAtParent || isBackloggedInSubtree(team, entry);
  }

  function getBackloggedEntries(): readonly TeamEntry[] {
    const found: TeamEntry[] = [];
    for (const [team, entry] of entries) {
      if (isBackloggedAnywhere(team, entry)) found.push(entry);
    }
    return found;
  }

  function getLowestCounter(backlogged: readonly TeamEntry[]): number {
    return backlogged.reduce(
      (lowest, entry) => Math.min(lowest, getCounter(entry)),
      Infinity,
    );
  }

  /**
   * Applies the cap on the spread and advances virtual time. Called at the root
   * only, which alone knows of all backlogged teams.
   */
  function advanceVirtualTime(): void {
    const backlogged = getBackloggedEntries();
    if (backlogged.length === 0) return;
    const counters = backlogged.map(getCounter);
    const highest = counters.reduce((most, each) => Math.max(most, each));
    if (largest > 0) {
      const lowestAllowed = highest - MAX_SPREAD_REQUESTS * largest;
      for (const entry of backlogged) raise(entry, lowestAllowed);
    }
    virtualTime = Math.max(virtualTime, getLowestCounter(backlogged));
  }

  function startSession(): void {
    session = host.createSession();
    sequence = 0;
    isSessionUnanswered = true;
    unackedSnapshots.clear();
    for (const entry of entries.values()) {
      entry.sessionBaseSum = entry.ackedSum;
      entry.ackedBacklogged = false;
    }
  }

  function applyReport(child: ChildState, report: CounterReport): void {
    child.sequence = report.sequence;
    largest = Math.max(largest, report.largest);
    for (const each of report.teams) {
      const entry = getEntry(each.team);
      // The floor does not contain service that the child has not reported yet,
      // so it is applied before the amount.
      if (each.floor > 0) raise(entry, each.floor);
      entry.sum += each.amount - (child.amounts.get(each.team) ?? 0);
      child.amounts.set(each.team, each.amount);
      if (each.backlogged) child.backlogged.add(each.team);
      else child.backlogged.delete(each.team);
    }
  }

  function createView(report: CounterReport, acked: number): CounterView {
    const reported = new Set(report.teams.map((each) => each.team));
    const teams: TeamService[] = [];
    for (const [team, entry] of entries) {
      const backlogged = isBackloggedAnywhere(team, entry);
      if (!backlogged && !reported.has(team) && !entry.isBackloggedAtParent) {
        continue;
      }
      teams.push({ team, amount: getCounter(entry), backlogged, floor: 0 });
    }
    const { session } = report;
    return { session, acked, reset: false, virtualTime, largest, teams };
  }

  function takeSnapshot(): Snapshot {
    return new Map(
      [...entries].map(([team, entry]) => [team, {
        sum: entry.sum,
        floor: entry.pendingFloor,
        backlogged: isBackloggedInSubtree(team, entry),
      }]),
    );
  }

  /**
   * Whether the state of a team has to be reported to the parent. The service
   * of a team that waits nowhere is not urgent: it is reported as soon as the
   * team waits, and until then the unreported service is at most that of the
   * largest request.
   */
  function hasUnreportedChange(entry: TeamEntry, backlogged: boolean): boolean {
    if (backlogged !== entry.ackedBacklogged) return true;
    if (isSessionUnanswered && backlogged) return true;
    const unreported = Math.abs(entry.sum - entry.ackedSum);
    if (backlogged || entry.isBackloggedAtParent) {
      return unreported > 0 || entry.pendingFloor > 0;
    }
    return unreported > largest;
  }

  function acknowledge(snapshot: Snapshot): void {
    for (const [team, { sum, floor, backlogged }] of snapshot) {
      const entry = getEntry(team);
      entry.knownSum += sum - entry.ackedSum;
      entry.ackedSum = sum;
      entry.ackedBacklogged = backlogged;
      if (entry.pendingFloor === floor) entry.pendingFloor = 0;
    }
  }

  function applyView(view: CounterView): void {
    const backlogged = new Set<string>();
    for (const each of view.teams) {
      const entry = getEntry(each.team);
      // A new parent may know less than this node: it starts with the floors
      // that its children report one after another.
      const least = isSessionUnanswered ? entry.knownSum : entry.pendingFloor;
      entry.knownSum = Math.max(each.amount, least);
      if (each.backlogged) backlogged.add(each.team);
    }
    for (const [team, entry] of entries) {
      entry.isBackloggedAtParent = backlogged.has(team);
    }
  }

  return {
    get: (team) => getCounter(getEntry(team)),
    charge(team, amount) {
      getEntry(team).sum += amount;
    },
    recordLargest(amount) {
      largest = Math.max(largest, amount);
    },
    getLargest: () => largest,
    setWaiting(team, isWaiting) {
      const entry = getEntry(team);
      // An idle team earns no credit: it starts at the counter of the lowest
      // backlogged team and gets no service for the time in which it was idle.
      if (isWaiting && !isBackloggedAnywhere(team, entry)) {
        const lowest = getLowestCounter(getBackloggedEntries());
        raise(entry, Math.max(virtualTime, lowest === Infinity ? 0 : lowest));
      }
      entry.isWaiting = isWaiting;
    },
    isBacklogged: (team) => isBackloggedAnywhere(team, getEntry(team)),
    isContended(team) {
      for (const [other, entry] of entries) {
        if (other !== team && isBackloggedAnywhere(other, entry)) return true;
      }
      return false;
    },
    setParent(next) {
      if (next === parent) return;
      parent = next;
      startSession();
    },
    receiveReport(name, report) {
      const child = getOrCreate(children, name, createChildState);
      child.lastReportMs = host.nowMs();
      if (child.session !== report.session) {
        const isOver = child.endedSessions.includes(report.session);
        if (!report.first || isOver) {
          return { ...createView(report, 0), reset: true };
        }
        beginSession(child, report.session);
      }
      if (report.sequence > child.sequence) applyReport(child, report);
      if (parent === undefined) advanceVirtualTime();
      return createView(report, child.sequence);
    },
    clearChildBacklog(name) {
      children.get(name)?.backlogged.clear();
    },
    tryGetReport() {
      if (parent === undefined) {
        advanceVirtualTime();
        return undefined;
      }
      const teams: TeamService[] = [];
      for (const [team, entry] of entries) {
        const backlogged = isBackloggedInSubtree(team, entry);
        if (!hasUnreportedChange(entry, backlogged)) continue;
        const amount = entry.sum - entry.sessionBaseSum;
        const floor = isSessionUnanswered && backlogged
          ? entry.knownSum
          : entry.pendingFloor;
        teams.push({ team, amount, backlogged, floor });
      }
      const nowMs = host.nowMs();
      if (teams.length === 0 && nowMs - lastReportMs < MAX_REPORT_GAP_MS) {
        return undefined;
      }
      lastReportMs = nowMs;
      sequence++;
      unackedSnapshots.set(sequence, takeSnapshot());
      dropOldest(unackedSnapshots, MAX_UNACKED_SNAPSHOTS);
      return { sequence, session, first: isSessionUnanswered, largest, teams };
    },
    receiveView(view) {
      if (view.session !== session) return;
      if (view.reset) {
        startSession();
        return;
      }
      const snapshot = unackedSnapshots.get(view.acked);
      if (snapshot === undefined) return;
      for (const each of [...unackedSnapshots.keys()]) {
        if (each <= view.acked) unackedSnapshots.delete(each);
      }
      acknowledge(snapshot);
      applyView(view);
      isSessionUnanswered = false;
      virtualTime = Math.max(virtualTime, view.virtualTime);
      largest = Math.max(largest, view.largest);
    },
  };
}

function beginSession(child: ChildState, session: number): void {
  child.endedSessions = [child.session, ...child.endedSessions].slice(0, 4);
  child.session = session;
  child.sequence = 0;
  child.amounts.clear();
  child.backlogged.clear();
}
