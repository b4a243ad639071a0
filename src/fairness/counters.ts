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
const IDLE_REPORT_MS = 2_000;

/** Reports in flight that a late view may still acknowledge. */
const MAX_SNAPSHOTS = 8;

interface Entry {
  /** Fleet-wide sum as the parent told it, with this node's sum up to `acked`. */
  known: number;
  /** Service added at this node and below since the node's start. */
  sum: number;
  /** Part of `sum` that `known` contains. */
  acked: number;
  /** `acked` as the session began. */
  base: number;
  /** A raise that the parent has not acknowledged; zero for none. */
  floor: number;
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
  const entries = new Map<string, Entry>();
  const children = new Map<string, ChildState>();
  const snapshots = new Map<number, Snapshot>();
  let parent: string | undefined;
  let session = 0;
  let sequence = 0;
  let isFirst = true;
  let virtualTime = 0;
  let largest = 0;
  let lastReportMs = -Infinity;

  function getEntry(team: string): Entry {
    return getOrCreate(entries, team, () => ({
      known: 0,
      sum: 0,
      acked: 0,
      base: 0,
      floor: 0,
      isWaiting: false,
      isBackloggedAtParent: false,
      ackedBacklogged: false,
    }));
  }

  function getCounter(entry: Entry): number {
    return entry.known + entry.sum - entry.acked;
  }

  /** Lifts the sum as the parent would know it; never lowers it. */
  function raiseKnown(entry: Entry, floor: number): void {
    if (entry.known >= floor) return;
    entry.known = floor;
    entry.floor = floor;
  }

  /** Lifts the counter, with what is not yet acknowledged, to the level. */
  function raise(entry: Entry, level: number): void {
    raiseKnown(entry, level - (entry.sum - entry.acked));
  }

  function isBackloggedInSubtree(team: string, entry: Entry): boolean {
    if (entry.isWaiting) return true;
    const nowMs = host.nowMs();
    for (const child of children.values()) {
      if (isBackloggedAtChild(child, team, nowMs)) return true;
    }
    return false;
  }

  function isBackloggedAnywhere(team: string, entry: Entry): boolean {
    return entry.isBackloggedAtParent || isBackloggedInSubtree(team, entry);
  }

  function getBackloggedEntries(): readonly Entry[] {
    const found: Entry[] = [];
    for (const [team, entry] of entries) {
      if (isBackloggedAnywhere(team, entry)) found.push(entry);
    }
    return found;
  }

  function getLowest(backlogged: readonly Entry[]): number {
    return backlogged.reduce(
      (lowest, entry) => Math.min(lowest, getCounter(entry)),
      Infinity,
    );
  }

  /** The root alone moves virtual time: only it sees every backlogged team. */
  function advanceAsRoot(): void {
    const backlogged = getBackloggedEntries();
    if (backlogged.length === 0) return;
    const counters = backlogged.map(getCounter);
    const top = counters.reduce((most, each) => Math.max(most, each));
    if (largest > 0) {
      const lowestAllowed = top - MAX_SPREAD_REQUESTS * largest;
      for (const entry of backlogged) raise(entry, lowestAllowed);
    }
    virtualTime = Math.max(virtualTime, getLowest(backlogged));
  }

  function startSession(): void {
    session = host.createSession();
    sequence = 0;
    isFirst = true;
    snapshots.clear();
    for (const entry of entries.values()) {
      entry.base = entry.acked;
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
        floor: entry.floor,
        backlogged: isBackloggedInSubtree(team, entry),
      }]),
    );
  }

  /**
   * Service of a team that waits nowhere is not urgent: once it waits it is told
   * at once, and until then at most one largest request is kept back.
   */
  function isNews(entry: Entry, backlogged: boolean): boolean {
    if (backlogged !== entry.ackedBacklogged) return true;
    if (isFirst && backlogged) return true;
    const pending = Math.abs(entry.sum - entry.acked);
    if (backlogged || entry.isBackloggedAtParent) {
      return pending > 0 || entry.floor > 0;
    }
    return pending > largest;
  }

  function acknowledge(snapshot: Snapshot): void {
    for (const [team, { sum, floor, backlogged }] of snapshot) {
      const entry = getEntry(team);
      entry.known += sum - entry.acked;
      entry.acked = sum;
      entry.ackedBacklogged = backlogged;
      if (entry.floor === floor) entry.floor = 0;
    }
  }

  function adopt(view: CounterView): void {
    const backlogged = new Set<string>();
    for (const each of view.teams) {
      const entry = getEntry(each.team);
      // A new parent may know less than this node does: it starts from the
      // floors of its children, which arrive one by one.
      const least = isFirst ? entry.known : entry.floor;
      entry.known = Math.max(each.amount, least);
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
        const lowest = getLowest(getBackloggedEntries());
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
      if (parent === undefined) advanceAsRoot();
      return createView(report, child.sequence);
    },
    clearChildBacklog(name) {
      children.get(name)?.backlogged.clear();
    },
    tryGetReport() {
      if (parent === undefined) {
        advanceAsRoot();
        return undefined;
      }
      const teams: TeamService[] = [];
      for (const [team, entry] of entries) {
        const backlogged = isBackloggedInSubtree(team, entry);
        if (!isNews(entry, backlogged)) continue;
        const amount = entry.sum - entry.base;
        const floor = isFirst && backlogged ? entry.known : entry.floor;
        teams.push({ team, amount, backlogged, floor });
      }
      const nowMs = host.nowMs();
      if (teams.length === 0 && nowMs - lastReportMs < IDLE_REPORT_MS) {
        return undefined;
      }
      lastReportMs = nowMs;
      sequence++;
      snapshots.set(sequence, takeSnapshot());
      if (snapshots.size > MAX_SNAPSHOTS) {
        snapshots.delete(snapshots.keys().next().value!);
      }
      return { sequence, session, first: isFirst, largest, teams };
    },
    receiveView(view) {
      if (view.session !== session) return;
      if (view.reset) {
        startSession();
        return;
      }
      const snapshot = snapshots.get(view.acked);
      if (snapshot === undefined) return;
      for (const each of [...snapshots.keys()]) {
        if (each <= view.acked) snapshots.delete(each);
      }
      acknowledge(snapshot);
      adopt(view);
      isFirst = false;
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
