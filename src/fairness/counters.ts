/**
 * One node in the tree of service counters of one service. A team's counter is
 * the service it has had over the fleet, divided by its weight; the next slot
 * goes to the waiting team with the lowest.
 *
 * The tree: slot owner, data centre, region, root. A node adds what its children
 * report, reports its own sum to its parent and takes the parent's sums as its
 * view. Every message may be lost or come twice: a report carries the sum since
 * its session began, of which the parent adds only what is new, and a raise is
 * a floor, which two nodes may set without adding up.
 *
 * Load: every team backlogged at once, spread unevenly over hosts. Harm
 * prevented: a team that is served by many hosts gets a share at each of them.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import {
  type ChildState,
  createChildState,
  isBackloggedAtChild,
} from "./children.ts";
import type { CounterReport, CounterView, TeamService } from "./types.ts";

/** What a node needs of the process. */
export interface CountersHost {
  nowMs(): number;
  /** A session number that no earlier session of this node had. */
  createSession(): number;
}

/** The counters of one service at one node. */
export interface ServiceCounters {
  /** The counter by which the team competes now. */
  get(team: string): number;
  /** Adds service that the team got here, already divided by its weight. */
  charge(team: string, amount: number): void;
  /** Takes in the whole service of one request, divided by the weight. */
  observeLargest(amount: number): void;
  getLargest(): number;
  /** Says whether the team has requests waiting at this node. */
  setWaiting(team: string, isWaiting: boolean): void;
  isBacklogged(team: string): boolean;
  /** Whether any other team waits anywhere, as far as known here. */
  isContended(team: string): boolean;
  /** Changes the parent; a node without one is the root of its tree. */
  setParent(parent: string | undefined): void;
  /** Takes in a child's report and gives the view to send back. */
  receiveReport(child: string, report: CounterReport): CounterView;
  /** A dead child has nothing waiting; its service stays in the sums. */
  clearChildBacklog(child: string): void;
  /** The report for the parent; `undefined` when there is nothing to say. */
  tryGetReport(): CounterReport | undefined;
  receiveView(view: CounterView): void;
}

/**
 * A backlogged team is at most so many of the largest requests behind the one
 * furthest ahead. Without this cap a region that was cut off for an hour would
 * bring an hour's difference into the fleet, and the teams ahead would starve
 * until it is worked off. Eight keeps clear of the spread in normal use, which
 * the scenario `fairness` shows at below four.
 */
export const MAX_SPREAD_REQUESTS = 8;

/** A node without news still reports so often, to hear of others' backlog. */
const MAX_REPORT_GAP_MS = 2_000;

/** Reports in flight that a late view may still acknowledge. */
const MAX_UNACKED_SNAPSHOTS = 8;

interface TeamEntry {
  /** Fleet-wide sum as the parent told it, with this node's sum up to `acked`. */
  knownSum: number;
  /** Service added at this node and below since the node's start. */
  sum: number;
  /** Part of `sum` that `known` contains. */
  ackedSum: number;
  /** `acked` as the session began. */
  sessionBaseSum: number;
  /** A raise that the parent has not acknowledged; zero for none. */
  pendingFloor: number;
  isWaiting: boolean;
  /** Backlogged anywhere, by the parent's last view. */
  isBackloggedAtParent: boolean;
  /** What the parent knows of this node's own backlog. */
  ackedBacklogged: boolean;
}

type Snapshot = ReadonlyMap<
  string,
  { readonly sum: number; readonly floor: number; readonly backlogged: boolean }
>;

/** Makes a node that is a root and stands at zero. */
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

  /** Lifts the sum as the parent would know it; never lowers it. */
  function raiseKnownSum(entry: TeamEntry, floor: number): void {
    if (entry.knownSum >= floor) return;
    entry.knownSum = floor;
    entry.pendingFloor = floor;
  }

  /** Lifts the counter, with what is not yet acknowledged, to the level. */
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

  /** The root alone moves virtual time: only it sees every backlogged team. */
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
      // The floor leaves out what the child has yet to report, so it goes first.
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
   * Service of a team that waits nowhere is not urgent: once it waits it is told
   * at once, and until then at most one largest request is kept back.
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
      // A new parent may know less than this node does: it starts from the
      // floors of its children, which arrive one by one.
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
    observeLargest(amount) {
      largest = Math.max(largest, amount);
    },
    getLargest: () => largest,
    setWaiting(team, isWaiting) {
      const entry = getEntry(team);
      // A team that was idle earns no credit: it starts level with the lowest
      // backlogged team instead of collecting for the time it was away.
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
      if (unackedSnapshots.size > MAX_UNACKED_SNAPSHOTS) {
        unackedSnapshots.delete(unackedSnapshots.keys().next().value!);
      }
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
