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
import { createServiceCredits } from "./service_credits.ts";
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
  /**
   * Recent service of the team, relative to its share; 1 is the full share. A
   * team that has begun to ask for more than its even part counts as having had
   * as much as those that are served.
   */
  getShareUsed(team: string): number;
  /** Recent service of the team over all hosts, for the log. */
  getServiceRates(team: string): TeamServiceRates;
  /**
   * Whether the team gets more than its due: more than the even part, while not
   * all get what they ask for.
   */
  isOverserved(team: string): boolean;
  /**
   * Whether the team gets less than its due: what it asks for, or the even part
   * if it asks for more.
   */
  isUnderserved(team: string): boolean;
  /** The same for the team with this digest. */
  isUnderservedByDigest(digest: number): boolean;
  /** Recent service of the team, with its credit, in tokens per second. */
  getServiceLevel(team: string): number;
  /** The same for the team with this digest. */
  getServiceLevelByDigest(digest: number): number;
  /** The service of the teams at this host, to be reported to other hosts. */
  getOwnTeams(): readonly TeamUse[];
}

/**
 * Half-life of the rates, in ms: a team is entitled to its share over periods
 * of four seconds.
 */
export const SERVICE_HALF_LIFE_MS = 1_400;

/** Time after which the fair levels are computed again. */
const LEVEL_TTL_MS = 50;

interface TeamRates {
  readonly asked: DecayingRate;
  readonly begun: DecayingRate;
}

/** Creates the service of teams of a host that has served nobody. */
export function createTeamService(host: TeamServiceHost): TeamService {
  const { clock, getDigest } = host;
  const teams = new Map<number, TeamRates>();
  const credits = createServiceCredits(SERVICE_HALF_LIFE_MS);
  let updatedMs = -Infinity;
  let askedByTeam: ReadonlyMap<number, number> = new Map();
  let begunByTeam: ReadonlyMap<number, number> = new Map();
  let mostBegun = 0;
  /**
   * Fair level computed from the service that is really begun, which may be far
   * below the stated capacity.
   */
  let servedFairLevel = Infinity;
  /** Fair levels of service with credit: of what is stated, of what is begun. */
  let statedFairLevel = Infinity;
  let creditedFairLevel = Infinity;

  function getTeamRates(team: string): TeamRates {
    return getOrCreate(teams, getDigest(team), () => ({
      asked: createDecayingRate(SERVICE_HALF_LIFE_MS),
      begun: createDecayingRate(SERVICE_HALF_LIFE_MS),
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
    if (nowMs - updatedMs < LEVEL_TTL_MS) return;
    updatedMs = nowMs;
    const asked = new Map<number, number>();
    const begun = new Map<number, number>();
    for (const use of [...getOwnTeams(), ...host.getOthersTeams()]) {
      asked.set(use.team, (asked.get(use.team) ?? 0) + use.asked);
      begun.set(use.team, (begun.get(use.team) ?? 0) + use.begun);
    }
    const total = sumOf(begun.values());
    const demands = [...asked.values()];
    servedFairLevel = getFairLevel(demands, total);
    credits.update(nowMs, { asked, begun });
    askedByTeam = asked;
    begunByTeam = begun;
    mostBegun = Math.max(0, ...begun.values());
    updateCreditedLevels();
  }

  /**
   * Returns the credit of a team that asks for more than its even part; others
   * are entitled to all that they ask for.
   */
  function getCredit(team: number): number {
    const asked = askedByTeam.get(team) ?? 0;
    return asked > servedFairLevel ? credits.get(team) : 0;
  }

  /** Recent service of the team, with its credit. */
  function getLevel(team: number): number {
    return (begunByTeam.get(team) ?? 0) + getCredit(team);
  }

  /** What the team asks for, with its credit. */
  function getDemand(team: number): number {
    return (askedByTeam.get(team) ?? 0) + getCredit(team);
  }

  function updateCreditedLevels(): void {
    const all = [...askedByTeam.keys()];
    const demands = all.map(getDemand);
    const total = sumOf(all.map(getLevel));
    // Cached prefixes need no prefill, so upstreams may do more than stated.
    const capacity = Math.max(total, host.getStatedCapacity());
    statedFairLevel = getFairLevel(demands, capacity);
    creditedFairLevel = getFairLevel(demands, total);
  }

  function isUnderservedByDigest(digest: number): boolean {
    updateFairLevels();
    return getLevel(digest) < Math.min(getDemand(digest), creditedFairLevel);
  }

  return {
    recordAsked(team, tokens) {
      // Teams are noticed when they begin to ask, whether or not any waits here.
      updateFairLevels();
      getTeamRates(team).asked.add(tokens, clock.monotonicMs());
    },
    recordBegun: (team, tokens) =>
      getTeamRates(team).begun.add(tokens, clock.monotonicMs()),
    getShareUsed(team) {
      updateFairLevels();
      return getLevel(getDigest(team)) / statedFairLevel;
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
      const digest = getDigest(team);
      return (begunByTeam.get(digest) ?? 0) > servedFairLevel &&
        getLevel(digest) > creditedFairLevel;
    },
    isUnderserved: (team) => isUnderservedByDigest(getDigest(team)),
    isUnderservedByDigest,
    getServiceLevel(team) {
      updateFairLevels();
      return getLevel(getDigest(team));
    },
    getServiceLevelByDigest(digest) {
      updateFairLevels();
      return getLevel(digest);
    },
    getOwnTeams,
  };
}

function sumOf(amounts: Iterable<number>): number {
  let sum = 0;
  for (const each of amounts) sum += each;
  return sum;
}
