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
  addPacingStats,
  EMPTY_PACING_STATS,
  type PacingStats,
} from "../pacing/mod.ts";
import { REPORT_KEEP_MS } from "./load_sums.ts";
import { createRate, type Rate } from "./rate.ts";
import { getFairLevel } from "./team_shares.ts";
import { addUse, createUse, isUsed, type Use } from "./use.ts";
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
  begin(upstream: string): void;
  end(upstream: string): void;
  /** A prompt of so many tokens, attention counted, is being read. */
  beginReading(upstream: string, readingTokens: number): void;
  endReading(upstream: string, readingTokens: number): void;
  noteAsked(team: string, tokens: number): void;
  /** A prompt of so much service and work, both in tokens, is asked for. */
  noteWork(size: number, workTokens: number): void;
  /** Service for a token of work, of what this host was asked of late. */
  getMeanYield(): number;
  noteBegun(team: string, tokens: number): void;
  /** Requests of all hosts in flight at the upstream. */
  getInFlight(upstream: string): number;
  /** What is being read there for all hosts, in tokens. */
  getReadingTokens(upstream: string): number;
  /** What the other hosts have learned of the service's upstreams. */
  getOthersLearned(service: string): PacingStats;
  /** What the team was given over its share, as a ratio; 1 is the share. */
  getShareUsed(team: string): number;
  /** Whether the team is given more than an even part of what is short. */
  isAhead(team: string): boolean;
  /** Whether the team is given far less than others, and asks for more. */
  isUnderserved(team: string): boolean;
  /** Prompts of underserved teams that wait at this host, by upstream. */
  setUnderserved(waiting: ReadonlyMap<string, number>): void;
  /** Those that wait at other hosts for the upstream. */
  getUnderservedElsewhere(upstream: string): number;
  /** Takes in the use of another host, or of all others together. */
  receive(report: LoadReport): void;
  /** This host's own use, to be told to others. */
  createUse(): LoadContent;
}

/** Rates fade to a half in so long, in ms: shares are owed by four seconds. */
const HALF_LIFE_MS = 1_400;

/** Old reports are looked for so often, in ms. */
const FORGET_PERIOD_MS = 50;

/** The level is worked out anew after so long, in ms. */
const LEVEL_KEEP_MS = 50;

/**
 * A team is underserved that is given less than this share of what the best
 * served one is given, though it asks for more.
 */
const UNDERSERVED_SHARE = 0.75;

/**
 * What upstreams give is short when more than so many times as much is asked:
 * what waits for a moment is asked and not begun.
 */
const SHORT_FACTOR = 1.15;

const NO_USE: Readonly<Use> = createUse();

interface HeardReport {
  readonly report: LoadReport;
  readonly atMs: number;
}

interface TeamRates {
  readonly asked: Rate;
  readonly begun: Rate;
}

/** Makes the view of a host that knows of no load. */
export function createLoadView(host: LoadViewHost): LoadView {
  const { clock, getDigest } = host;
  const uses = new Map<number, Use>();
  const teams = new Map<number, TeamRates>();
  const reports = new Map<string, HeardReport>();
  const othersUse = new Map<number, Use>();
  const othersLearned = new Map<number, PacingStats>();
  const sizes = createRate(HALF_LIFE_MS);
  const works = createRate(HALF_LIFE_MS);
  let forgotAtMs = -Infinity;
  let level = Infinity;
  /** The level of what is really given, which may be far below what is stated. */
  let givenLevel = Infinity;
  let askedByTeam: ReadonlyMap<number, number> = new Map();
  let begunByTeam: ReadonlyMap<number, number> = new Map();
  let mostBegun = 0;
  let levelAtMs = -Infinity;

  function getUse(upstream: string): Use {
    return getOrCreate(uses, getDigest(upstream), createUse);
  }

  function getTeam(team: string): TeamRates {
    return getOrCreate(teams, getDigest(team), () => ({
      asked: createRate(HALF_LIFE_MS),
      begun: createRate(HALF_LIFE_MS),
    }));
  }

  /** Adds a report to the sums over all other hosts, or takes it out again. */
  function count(report: LoadReport, sign: 1 | -1): void {
    for (const each of report.upstreams) {
      addUse(getOrCreate(othersUse, each.upstream, createUse), each, sign);
    }
    for (const learned of report.learned) {
      const known = othersLearned.get(learned.service) ?? EMPTY_PACING_STATS;
      const sum = addPacingStats(known, learned, sign);
      // Without hosts only errors of rounding are left.
      if (sum.hosts > 0) othersLearned.set(learned.service, sum);
      else othersLearned.delete(learned.service);
    }
  }

  function forget(from: string): void {
    const heard = reports.get(from);
    if (heard === undefined) return;
    reports.delete(from);
    count(heard.report, -1);
  }

  /** A host that was killed, or cut off, uses nothing any more. */
  function forgetOld(): void {
    const nowMs = clock.monotonicMs();
    if (nowMs - forgotAtMs < FORGET_PERIOD_MS) return;
    forgotAtMs = nowMs;
    for (const [from, { report, atMs }] of reports) {
      const isGone = report.scope === "host" && !host.isAlive(from);
      if (isGone || nowMs - atMs > REPORT_KEEP_MS) forget(from);
    }
  }

  /** A sum replaces the reports that it is made of, and these replace a sum. */
  function forgetOtherScopes({ scope }: LoadReport): void {
    for (const [from, { report }] of reports) {
      if (report.scope !== scope) forget(from);
    }
  }

  function getOthers(upstream: string): Readonly<Use> {
    forgetOld();
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

  function updateLevel(): void {
    const nowMs = clock.monotonicMs();
    if (nowMs - levelAtMs < LEVEL_KEEP_MS) return;
    levelAtMs = nowMs;
    const asked = new Map<number, number>();
    const begun = new Map<number, number>();
    forgetOld();
    const heard = [...reports.values()].map((each) => each.report.teams);
    const all = [getOwnTeams(), ...heard];
    for (const use of all.flat()) {
      asked.set(use.team, (asked.get(use.team) ?? 0) + use.asked);
      begun.set(use.team, (begun.get(use.team) ?? 0) + use.begun);
    }
    const total = sumOf(begun.values());
    // What upstreams keep need not be read, so that they do more than stated.
    const capacity = Math.max(total, host.getStatedCapacity());
    const demands = [...asked.values()];
    level = getFairLevel(demands, capacity);
    const isShort = sumOf(demands) > total * SHORT_FACTOR;
    givenLevel = isShort ? getFairLevel(demands, total) : Infinity;
    askedByTeam = asked;
    begunByTeam = begun;
    mostBegun = Math.max(0, ...begun.values());
  }

  return {
    begin: (upstream) => void getUse(upstream).inFlight++,
    end: (upstream) => void getUse(upstream).inFlight--,
    beginReading(upstream, readingTokens) {
      getUse(upstream).readingTokens += readingTokens;
    },
    endReading(upstream, readingTokens) {
      getUse(upstream).readingTokens -= readingTokens;
    },
    noteAsked: (team, tokens) =>
      getTeam(team).asked.add(tokens, clock.monotonicMs()),
    noteWork(size, workTokens) {
      const nowMs = clock.monotonicMs();
      sizes.add(size, nowMs);
      works.add(workTokens, nowMs);
    },
    getMeanYield() {
      const nowMs = clock.monotonicMs();
      return sizes.get(nowMs) / Math.max(1, works.get(nowMs));
    },
    noteBegun: (team, tokens) =>
      getTeam(team).begun.add(tokens, clock.monotonicMs()),
    getInFlight: (upstream) =>
      getUse(upstream).inFlight + getOthers(upstream).inFlight,
    getReadingTokens: (upstream) =>
      getUse(upstream).readingTokens + getOthers(upstream).readingTokens,
    getOthersLearned(service) {
      forgetOld();
      return othersLearned.get(getDigest(service)) ?? EMPTY_PACING_STATS;
    },
    getShareUsed(team) {
      updateLevel();
      return (begunByTeam.get(getDigest(team)) ?? 0) / level;
    },
    isAhead(team) {
      updateLevel();
      return (begunByTeam.get(getDigest(team)) ?? 0) > givenLevel;
    },
    isUnderserved(team) {
      updateLevel();
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
    getUnderservedElsewhere: (upstream) => getOthers(upstream).underserved,
    receive(report) {
      const known = reports.get(report.from);
      const isOlder = known !== undefined &&
        report.sequence < known.report.sequence &&
        // A restarted host counts from the start again.
        clock.monotonicMs() - known.atMs < REPORT_KEEP_MS;
      if (isOlder) return;
      forget(report.from);
      forgetOtherScopes(report);
      reports.set(report.from, { report, atMs: clock.monotonicMs() });
      count(report, 1);
    },
    createUse() {
      const upstreams: UpstreamUse[] = [];
      for (const [upstream, use] of uses) {
        if (isUsed(use)) upstreams.push({ upstream, ...use });
        else uses.delete(upstream);
      }
      const used = getOwnTeams().filter((each) => each.asked > 0);
      return { upstreams, teams: used, learned: host.getLearned() };
    },
  };
}

function sumOf(amounts: Iterable<number>): number {
  let sum = 0;
  for (const each of amounts) sum += each;
  return sum;
}
