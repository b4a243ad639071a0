/**
 * The use of the upstreams over all hosts, and which teams exceed their share.
 * It is computed from this host's own counts and the newest report of each
 * other host.
 *
 * Load: all hosts send to the same upstreams, but each observes only its own
 * requests. Harm prevented: together they send an upstream more than it can run
 * concurrently, and the remaining requests wait inside it, in no fair order and
 * for up to 1.3 s. And a team that sends far more than its share in one data
 * centre gets capacity there that other teams lack elsewhere.
 *
 * @module
 */

import { type Clock, getOrCreate } from "../core/mod.ts";
import type { LoadCoverage, TeamServiceTotals } from "../diagnostics/mod.ts";
import {
  addPacingStats,
  EMPTY_PACING_STATS,
  type PacingStats,
} from "../pacing/mod.ts";
import { REPORT_TTL_MS } from "./aggregation_tree.ts";
import { createDecayingRate } from "./decaying_rate.ts";
import { createServiceTotals } from "./service_totals.ts";
import {
  createTeamService,
  SERVICE_HALF_LIFE_MS,
  type TeamService,
  type TeamServiceHost,
} from "./team_service.ts";
import {
  addUse,
  createUseTotals,
  isUsed,
  type UseTotals,
} from "./use_totals.ts";
import {
  type LearnedOfService,
  type LoadContent,
  type LoadReport,
  NOTHING_WAITING,
  type UpstreamUse,
  type WaitingLoad,
} from "./types.ts";

/** Dependencies of the load view, supplied by the process. */
export interface LoadViewHost
  extends Pick<TeamServiceHost, "getDigest" | "getStatedCapacity"> {
  readonly clock: Clock;
  /** Whether the host is alive, as far as this host knows. */
  isAlive(host: string): boolean;
  /** What this host has learned about the upstreams, by service. */
  getLearned(): readonly LearnedOfService[];
}

/** The load of the fleet, as known to this host. */
export interface LoadView extends Omit<TeamService, "getOwnTeams"> {
  beginRequest(upstream: string): void;
  endRequest(upstream: string): void;
  /**
   * Counts a prompt whose prefill begins, with its tokens weighted by the cost
   * of attention.
   */
  beginPrefill(upstream: string, readingTokens: number): void;
  endPrefill(upstream: string, readingTokens: number): void;
  /**
   * Records the service and the upstream work of a requested prompt, in tokens.
   */
  recordWork(serviceTokens: number, workTokens: number): void;
  /**
   * Recent mean of requested service tokens per token of work, at this host.
   */
  getMeanEfficiency(): number;
  /**
   * Records, for the log, that a further attempt of a request of the team has
   * begun. The team has asked for it once and is given it once.
   */
  recordRepeated(team: string, tokens: number): void;
  /** Records that a team's caller has got the whole response to a prompt. */
  recordAnswered(team: string, tokens: number): void;
  /** Totals of the service of teams at this host, if they are due for the log. */
  takeDueServiceTotals(): readonly TeamServiceTotals[];
  /** What this view takes for the fleet, for the log and the metrics. */
  getCoverage(): LoadCoverage;
  /** Requests in flight at the upstream, of all hosts. */
  getInFlight(upstream: string): number;
  /** Tokens being prefilled at the upstream, for all hosts. */
  getReadingTokens(upstream: string): number;
  /** What the other hosts have learned about the service's upstreams. */
  getOthersLearned(service: string): PacingStats;
  /** Sets the prompts that wait at this host, by upstream. */
  setWaiting(waiting: ReadonlyMap<string, WaitingLoad>): void;
  /** Prompts of underserved teams that wait for the upstream at other hosts. */
  getUnderservedElsewhere(upstream: string): number;
  /** Tokens that prompts of underserved teams wait to prefill, of all hosts. */
  getUnderservedTokens(upstream: string): number;
  /** Tokens that yielding prompts wait to prefill there at other hosts. */
  getYieldingElsewhere(upstream: string): number;
  /** Applies the report of another host, or the aggregate of all others. */
  receive(report: LoadReport): void;
  /** Returns this host's own use, to be reported to other hosts. */
  createOwnContent(): LoadContent;
}

/** Least time between two searches for stale reports. */
const EVICT_PERIOD_MS = 50;

const NO_USE: Readonly<UseTotals> = createUseTotals();

interface ReceivedReport {
  readonly report: LoadReport;
  readonly receivedMs: number;
}

/** Creates the view of a host that has received no reports. */
export function createLoadView(host: LoadViewHost): LoadView {
  const { clock, getDigest } = host;
  const uses = new Map<number, UseTotals>();
  const reports = new Map<string, ReceivedReport>();
  const othersUse = new Map<number, UseTotals>();
  const othersLearned = new Map<number, PacingStats>();
  /** Upstreams for which prompts wait at this host. */
  let awaited: readonly string[] = [];
  const serviceRate = createDecayingRate(SERVICE_HALF_LIFE_MS);
  const workRate = createDecayingRate(SERVICE_HALF_LIFE_MS);
  let lastEvictionMs = -Infinity;
  function getUse(upstream: string): UseTotals {
    return getOrCreate(uses, getDigest(upstream), createUseTotals);
  }

  /** Adds a report to the totals over all other hosts, or subtracts it. */
  function applyReport(report: LoadReport, sign: 1 | -1): void {
    for (const each of report.upstreams) {
      addUse(
        getOrCreate(othersUse, each.upstream, createUseTotals),
        each,
        sign,
      );
    }
    for (const learned of report.learned) {
      const known = othersLearned.get(learned.service) ?? EMPTY_PACING_STATS;
      const sum = addPacingStats(known, learned, sign);
      // Without contributing hosts only rounding errors remain.
      if (sum.hosts > 0) othersLearned.set(learned.service, sum);
      else othersLearned.delete(learned.service);
    }
  }

  function evict(from: string): void {
    const received = reports.get(from);
    if (received === undefined) return;
    reports.delete(from);
    applyReport(received.report, -1);
  }

  /** Drops reports of hosts that have stopped or cannot be reached. */
  function evictStale(): void {
    const nowMs = clock.monotonicMs();
    if (nowMs - lastEvictionMs < EVICT_PERIOD_MS) return;
    lastEvictionMs = nowMs;
    for (const [from, { report, receivedMs }] of reports) {
      const isGone = report.scope === "host" && !host.isAlive(from);
      if (isGone || nowMs - receivedMs > REPORT_TTL_MS) evict(from);
    }
  }

  /**
   * Drops reports of another scope: an aggregate replaces the reports of single
   * hosts, and these replace an aggregate.
   */
  function evictOtherScopes({ scope }: LoadReport): void {
    for (const [from, { report }] of reports) {
      if (report.scope !== scope) evict(from);
    }
  }

  function getOthersUse(upstream: string): Readonly<UseTotals> {
    evictStale();
    return othersUse.get(getDigest(upstream)) ?? NO_USE;
  }

  const { getOwnTeams, ...teams } = createTeamService({
    ...host,
    getOthersTeams() {
      evictStale();
      return [...reports.values()].flatMap((each) => each.report.teams);
    },
  });

  const totals = createServiceTotals();

  return {
    ...teams,
    recordAsked(team, tokens) {
      totals.recordAsked(team, tokens);
      teams.recordAsked(team, tokens);
    },
    recordBegun(team, tokens) {
      totals.recordBegun(team, tokens);
      teams.recordBegun(team, tokens);
    },
    recordRepeated: totals.recordRepeated,
    recordAnswered: totals.recordAnswered,
    takeDueServiceTotals: () => totals.takeDue(clock.monotonicMs()),
    beginRequest: (upstream) => void getUse(upstream).inFlight++,
    endRequest: (upstream) => void getUse(upstream).inFlight--,
    beginPrefill(upstream, readingTokens) {
      getUse(upstream).readingTokens += readingTokens;
    },
    endPrefill(upstream, readingTokens) {
      getUse(upstream).readingTokens -= readingTokens;
    },
    recordWork(serviceTokens, workTokens) {
      const nowMs = clock.monotonicMs();
      serviceRate.add(serviceTokens, nowMs);
      workRate.add(workTokens, nowMs);
    },
    getMeanEfficiency() {
      const nowMs = clock.monotonicMs();
      return serviceRate.get(nowMs) / Math.max(1, workRate.get(nowMs));
    },
    getCoverage() {
      evictStale();
      const nowMs = clock.monotonicMs();
      let hosts = 1;
      let ageMs = 0;
      for (const { report, receivedMs } of reports.values()) {
        hosts += report.hosts;
        ageMs = Math.max(ageMs, Math.round(nowMs - receivedMs));
      }
      return { hosts, ageMs };
    },
    getInFlight: (upstream) =>
      getUse(upstream).inFlight + getOthersUse(upstream).inFlight,
    getReadingTokens: (upstream) =>
      getUse(upstream).readingTokens + getOthersUse(upstream).readingTokens,
    getOthersLearned(service) {
      evictStale();
      return othersLearned.get(getDigest(service)) ?? EMPTY_PACING_STATS;
    },
    setWaiting(waiting) {
      for (const upstream of awaited) {
        Object.assign(getUse(upstream), NOTHING_WAITING);
      }
      for (const [upstream, load] of waiting) {
        Object.assign(getUse(upstream), load);
      }
      awaited = [...waiting.keys()];
    },
    getUnderservedElsewhere: (upstream) => getOthersUse(upstream).underserved,
    getUnderservedTokens: (upstream) =>
      getUse(upstream).underservedTokens +
      getOthersUse(upstream).underservedTokens,
    getYieldingElsewhere: (upstream) => getOthersUse(upstream).yieldingTokens,
    receive(report) {
      const known = reports.get(report.from);
      const isOlder = known !== undefined &&
        report.sequence < known.report.sequence &&
        // A restarted host begins its sequence again.
        clock.monotonicMs() - known.receivedMs < REPORT_TTL_MS;
      if (isOlder) return;
      evict(report.from);
      evictOtherScopes(report);
      reports.set(report.from, { report, receivedMs: clock.monotonicMs() });
      applyReport(report, 1);
    },
    createOwnContent() {
      const upstreams: UpstreamUse[] = [];
      for (const [upstream, use] of uses) {
        if (isUsed(use)) upstreams.push({ upstream, ...use });
        else uses.delete(upstream);
      }
      const activeTeams = getOwnTeams().filter((each) => each.asked > 0);
      return {
        upstreams,
        teams: activeTeams,
        learned: host.getLearned(),
        hosts: 1,
      };
    },
  };
}
