/**
 * The service that each team asks for and is given over all hosts, and which
 * teams get more or less than their part of it.
 *
 * Load: a team sends far more than its share in one data centre. Harm prevented:
 * it gets capacity there that other teams lack elsewhere.
 *
 * @module
 */

import { type Clock, getOrCreate } from "../core/mod.ts";
import type { TeamServiceRates } from "../diagnostics/mod.ts";
import { createDecayingRate, type DecayingRate } from "./decaying_rate.ts";
import { getFairLevel } from "./team_shares.ts";
import type { TeamUse } from "./types.ts";

/** Dependencies of the service of teams. */
export interface TeamServiceHost {
  readonly clock: Clock;
  /** Digest that stands for a name in reports. */
  getDigest(name: string): number;
  /** Capacity of the upstreams as stated by operators, in tokens per second. */
  getStatedCapacity(): number;
  /** The service of teams at the other hosts, as last reported. */
  getOthersTeams(): readonly TeamUse[];
}

/** The service of teams over all hosts, as known to this host. */
export interface TeamService {
  recordAsked(team: string, tokens: number): void;
  recordBegun(team: string, tokens: number): void;
  /** Recent service of the team, relative to its share; 1 is the full share. */
  getShareUsed(team: string): number;
  /** Recent service of the team over all hosts, for the log. */
  getServiceRates(team: string): TeamServiceRates;
  /**
   * Whether upstream capacity is short and the team gets more than an even part
   * of it.
   */
  isOverserved(team: string): boolean;
  /** Whether the team gets far less than others although it asks for more. */
  isUnderserved(team: string): boolean;
  /** The service of the teams at this host, to be reported to other hosts. */
  getOwnTeams(): readonly TeamUse[];
}

/**
 * Half-life of the rates, in ms: a team is entitled to its share over periods
 * of four seconds.
 */
const HALF_LIFE_MS = 1_400;

/** Time after which the fair levels are computed again. */
const LEVEL_TTL_MS = 50;

/**
 * A team is underserved if it gets less than this share of what the best served
 * team gets, although it asks for more.
 */
const UNDERSERVED_SHARE = 0.75;

/**
 * Capacity is short when the service asked for exceeds the service begun by
 * this factor. A smaller difference is due to prompts that wait only briefly.
 */
const SHORTAGE_FACTOR = 1.15;

interface TeamRates {
  readonly asked: DecayingRate;
  readonly begun: DecayingRate;
}

/** Creates the service of teams of a host that has served nobody. */
export function createTeamService(host: TeamServiceHost): TeamService {
  const { clock, getDigest } = host;
  const teams = new Map<number, TeamRates>();
  let statedFairLevel = Infinity;
  /**
   * Fair level computed from the service that is really begun, which may be far
   * below the stated capacity.
   */
  let servedFairLevel = Infinity;
  let askedByTeam: ReadonlyMap<number, number> = new Map();
  let begunByTeam: ReadonlyMap<number, number> = new Map();
  let mostBegun = 0;
  let levelsUpdatedMs = -Infinity;

  function getTeamRates(team: string): TeamRates {
    return getOrCreate(teams, getDigest(team), () => ({
      asked: createDecayingRate(HALF_LIFE_MS),
      begun: createDecayingRate(HALF_LIFE_MS),
    }));
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
    for (const use of [...getOwnTeams(), ...host.getOthersTeams()]) {
      asked.set(use.team, (asked.get(use.team) ?? 0) + use.asked);
      begun.set(use.team, (begun.get(use.team) ?? 0) + use.begun);
    }
    const total = sumOf(begun.values());
    // Cached prefixes need no prefill, so upstreams may do more than stated.
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
    recordAsked: (team, tokens) =>
      getTeamRates(team).asked.add(tokens, clock.monotonicMs()),
    recordBegun: (team, tokens) =>
      getTeamRates(team).begun.add(tokens, clock.monotonicMs()),
    getShareUsed(team) {
      updateFairLevels();
      return (begunByTeam.get(getDigest(team)) ?? 0) / statedFairLevel;
    },
    getServiceRates(team) {
      updateFairLevels();
      const digest = getDigest(team);
      return {
        asked: askedByTeam.get(digest) ?? 0,
        begun: begunByTeam.get(digest) ?? 0,
        mostBegun,
      };
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
    getOwnTeams,
  };
}

function sumOf(amounts: Iterable<number>): number {
  let sum = 0;
  for (const each of amounts) sum += each;
  return sum;
}
