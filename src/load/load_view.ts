/**
 * What all hosts together use of the upstreams, and which teams take more than
 * their share: this host's own counts and the newest report of each other host.
 *
 * Load: all hosts send to the same upstreams, each seeing its own requests
 * alone. Harm prevented: together they send an upstream more than it works on
 * at once, and the rest waits inside it, in no order and for up to 1.3 s; and a
 * team that floods one data centre gets there what others lack elsewhere.
 *
 * @module
 */

import { type Clock, getOrCreate } from "../core/mod.ts";
import {
  addEvidence,
  NO_EVIDENCE,
  type PacingEvidence,
} from "../pacing/mod.ts";
import { REPORT_TTL_MS } from "./load_reporter.ts";
import { createDecayingRate, type DecayingRate } from "./decaying_rate.ts";
import { getFairLevel } from "./team_shares.ts";
import {
  addUse,
  createUseTotals,
  isUsed,
  type UseTotals,
} from "./use_totals.ts";
import type {
  LearnedOfService,
  LoadContent,
  LoadReport,
  TeamUse,
  UpstreamUse,
} from "./types.ts";

/** What the view needs of the process. */
export interface LoadViewHost {
  readonly clock: Clock;
  /** Digest by which a name travels. */
  getDigest(name: string): number;
  /** Whether the host is alive, as far as is known. */
  isAlive(host: string): boolean;
  /** Tokens that the upstreams do in a second, as operators state it. */
  getStatedCapacity(): number;
  /** What this host has learned of upstreams, by service. */
  getLearned(): readonly LearnedOfService[];
}

/** The load of the fleet, as this host sees it. */
export interface LoadView {
  beginRequest(upstream: string): void;
  endRequest(upstream: string): void;
  /** A prompt of so many tokens, attention counted, is being read. */
  beginReading(upstream: string, readingTokens: number): void;
  endReading(upstream: string, readingTokens: number): void;
  recordAsked(team: string, tokens: number): void;
  /** A prompt of so much service and work, both in tokens, is asked for. */
  recordWork(serviceTokens: number, workTokens: number): void;
  /** Service for a token of work, of what this host was asked of late. */
  getMeanEfficiency(): number;
  recordBegun(team: string, tokens: number): void;
  /** Requests of all hosts in flight at the upstream. */
  getInFlight(upstream: string): number;
  /** What is being read there for all hosts, in tokens. */
  getReadingTokens(upstream: string): number;
  /** What the other hosts have learned of the service's upstreams. */
  getOthersLearned(service: string): PacingEvidence;
  /** What the team was given over its share, as a ratio; 1 is the share. */
  getShareUsed(team: string): number;
  /** Whether the team is given more than an even part of what is short. */
  isOverserved(team: string): boolean;
  /** Whether the team is given far less than others, and asks for more. */
  isUnderserved(team: string): boolean;
  /** Prompts of underserved teams that wait at this host, by upstream. */
  setUnderserved(waiting: ReadonlyMap<string, number>): void;
  /** Those that wait at other hosts for the upstream. */
  getUnderservedElsewhere(upstream: string): number;
  /** Takes in the use of another host, or of all others together. */
  receive(report: LoadReport): void;
  /** This host's own use, to be told to others. */
  createOwnContent(): LoadContent;
}

/** Rates fade to a half in so long, in ms: shares are owed by four seconds. */
const HALF_LIFE_MS = 1_400;

/** Old reports are looked for so often, in ms. */
const EVICT_PERIOD_MS = 50;

/** The level is worked out anew after so long, in ms. */
const LEVEL_TTL_MS = 50;

/**
 * A team is underserved that is given less than this share of what the best
 * served one is given, though it asks for more.
 */
const UNDERSERVED_SHARE = 0.75;

/**
 * What upstreams give is short when more than so many times as much is asked:
 * what waits for a moment is asked and not begun.
 */
const SHORTAGE_FACTOR = 1.15;

const NO_USE: Readonly<UseTotals> = createUseTotals();

interface ReceivedReport {
  readonly report: LoadReport;
  readonly receivedMs: number;
}

interface TeamRates {
  readonly asked: DecayingRate;
  readonly begun: DecayingRate;
}

/** Makes the view of a host that knows of no load. */
export function createLoadView(host: LoadViewHost): LoadView {
  const { clock, getDigest } = host;
  const uses = new Map<number, UseTotals>();
  const teams = new Map<number, TeamRates>();
  const reports = new Map<string, ReceivedReport>();
  const othersUse = new Map<number, UseTotals>();
  const othersLearned = new Map<number, PacingEvidence>();
  const serviceRate = createDecayingRate(HALF_LIFE_MS);
  const workRate = createDecayingRate(HALF_LIFE_MS);
  let evictedMs = -Infinity;
  let statedFairLevel = Infinity;
  /** The level of what is really given, which may be far below what is stated. */
  let servedFairLevel = Infinity;
  let askedByTeam: ReadonlyMap<number, number> = new Map();
  let begunByTeam: ReadonlyMap<number, number> = new Map();
  let mostBegun = 0;
  let levelsUpdatedMs = -Infinity;

  function getUse(upstream: string): UseTotals {
    return getOrCreate(uses, getDigest(upstream), createUseTotals);
  }

  function getTeamRates(team: string): TeamRates {
    return getOrCreate(teams, getDigest(team), () => ({
      asked: createDecayingRate(HALF_LIFE_MS),
      begun: createDecayingRate(HALF_LIFE_MS),
    }));
  }

  /** Adds a report to the sums over all other hosts, or takes it out again. */
  function applyReport(report: LoadReport, sign: 1 | -1): void {
    for (const each of report.upstreams) {
      addUse(
        getOrCreate(othersUse, each.upstream, createUseTotals),
        each,
        sign,
      );
    }
    for (const learned of report.learned) {
      const known = othersLearned.get(learned.service) ?? NO_EVIDENCE;
      const sum = addEvidence(known, learned, sign);
      // Without hosts only errors of rounding are left.
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

  /** A host that was killed, or cut off, uses nothing any more. */
  function evictStale(): void {
    const nowMs = clock.monotonicMs();
    if (nowMs - evictedMs < EVICT_PERIOD_MS) return;
    evictedMs = nowMs;
    for (const [from, { report, receivedMs: atMs }] of reports) {
      const isGone = report.scope === "host" && !host.isAlive(from);
      if (isGone || nowMs - atMs > REPORT_TTL_MS) evict(from);
    }
  }

  /** A sum replaces the reports that it is made of, and these replace a sum. */
  function evictOtherScopes({ scope }: LoadReport): void {
    for (const [from, { report }] of reports) {
      if (report.scope !== scope) evict(from);
    }
  }

  function getOthersUse(upstream: string): Readonly<UseTotals> {
    evictStale();
    return othersUse.get(getDigest(upstream)) ?? NO_USE;
  }

  function getOwnTeams(): readonly TeamUse[] {
    const nowMs = clock.monotonicMs();
    return [...teams].map(([team, rates]) => ({
      team,
      asked: Math.round(rates.asked.get(nowMs)),
      begun: Math.round(rates.begun.get(nowMs)),
    }));
  }

  function updateFairLevels(): void {
    const nowMs = clock.monotonicMs();
    if (nowMs - levelsUpdatedMs < LEVEL_TTL_MS) return;
    levelsUpdatedMs = nowMs;
    const asked = new Map<number, number>();
    const begun = new Map<number, number>();
    evictStale();
    const otherTeams = [...reports.values()].map((each) => each.report.teams);
    const all = [getOwnTeams(), ...otherTeams];
    for (const use of all.flat()) {
      asked.set(use.team, (asked.get(use.team) ?? 0) + use.asked);
      begun.set(use.team, (begun.get(use.team) ?? 0) + use.begun);
    }
    const total = sumOf(begun.values());
    // What upstreams keep need not be read, so that they do more than stated.
    const capacity = Math.max(total, host.getStatedCapacity());
    const demands = [...asked.values()];
    statedFairLevel = getFairLevel(demands, capacity);
    const hasShortage = sumOf(demands) > total * SHORTAGE_FACTOR;
    servedFairLevel = hasShortage ? getFairLevel(demands, total) : Infinity;
    askedByTeam = asked;
    begunByTeam = begun;
    mostBegun = Math.max(0, ...begun.values());
  }

  return {
    beginRequest: (upstream) => void getUse(upstream).inFlight++,
    endRequest: (upstream) => void getUse(upstream).inFlight--,
    beginReading(upstream, readingTokens) {
      getUse(upstream).readingTokens += readingTokens;
    },
    endReading(upstream, readingTokens) {
      getUse(upstream).readingTokens -= readingTokens;
    },
    recordAsked: (team, tokens) =>
      getTeamRates(team).asked.add(tokens, clock.monotonicMs()),
    recordWork(serviceTokens, workTokens) {
      const nowMs = clock.monotonicMs();
      serviceRate.add(serviceTokens, nowMs);
      workRate.add(workTokens, nowMs);
    },
    getMeanEfficiency() {
      const nowMs = clock.monotonicMs();
      return serviceRate.get(nowMs) / Math.max(1, workRate.get(nowMs));
    },
    recordBegun: (team, tokens) =>
      getTeamRates(team).begun.add(tokens, clock.monotonicMs()),
    getInFlight: (upstream) =>
      getUse(upstream).inFlight + getOthersUse(upstream).inFlight,
    getReadingTokens: (upstream) =>
      getUse(upstream).readingTokens + getOthersUse(upstream).readingTokens,
    getOthersLearned(service) {
      evictStale();
      return othersLearned.get(getDigest(service)) ?? NO_EVIDENCE;
    },
    getShareUsed(team) {
      updateFairLevels();
      return (begunByTeam.get(getDigest(team)) ?? 0) / statedFairLevel;
    },
    isOverserved(team) {
      updateFairLevels();
      return (begunByTeam.get(getDigest(team)) ?? 0) > servedFairLevel;
    },
    isUnderserved(team) {
      updateFairLevels();
      const digest = getDigest(team);
      const begun = begunByTeam.get(digest) ?? 0;
      const due = Math.min(askedByTeam.get(digest) ?? 0, mostBegun);
      return begun < due * UNDERSERVED_SHARE;
    },
    setUnderserved(waiting) {
      for (const use of uses.values()) use.underserved = 0;
      for (const [upstream, prompts] of waiting) {
        getUse(upstream).underserved = prompts;
      }
    },
    getUnderservedElsewhere: (upstream) => getOthersUse(upstream).underserved,
    receive(report) {
      const known = reports.get(report.from);
      const isOlder = known !== undefined &&
        report.sequence < known.report.sequence &&
        // A restarted host counts from the start again.
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
      return { upstreams, teams: activeTeams, learned: host.getLearned() };
    },
  };
}

function sumOf(amounts: Iterable<number>): number {
  let sum = 0;
  for (const each of amounts) sum += each;
  return sum;
}
