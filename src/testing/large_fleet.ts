/**
 * A large deployment in the simulation of shared upstreams: 89 hosts, 63
 * upstreams, and teams of several sizes whose callers use all hosts or a few.
 *
 * @module
 */

import {
  type PromptCounts,
  type SharedUpstreamsOptions,
  type SimulatedPromptKind,
  type SimulatedTeam,
  simulateSharedUpstreams,
} from "../measure/shared_upstreams.ts";

const HOSTS = 89;
const UPSTREAMS = 63;
const DATA_CENTRES = 6;

/** Tokens that the upstreams can prefill, in millions per second. */
const CAPACITY = UPSTREAMS * 0.093;

/** Second from which on the shares of teams are compared. */
const FROM_SECOND = 3;
const UNTIL_SECOND = 9;

/** Long, middle and short prompts. */
const kinds: readonly SimulatedPromptKind[] = [
  { ownTokens: 3_720, sharedTokens: 13_300, workTokens: 20_500, share: 0.26 },
  { ownTokens: 2_890, sharedTokens: 6_300, workTokens: 10_500, share: 0.24 },
  { ownTokens: 1_110, sharedTokens: 350, workTokens: 25_500, share: 0.5 },
];

/** A team of the deployment. */
export interface TeamShape {
  /** Service that it asks for, in millions of tokens per second. */
  readonly asked: number;
  /** Indices of the hosts that its callers use. */
  readonly hosts: readonly number[];
  readonly prefixes: number;
}

/** All hosts of the deployment. */
export const everyHost = Array.from({ length: HOSTS }, (_, at) => at);

/** Returns the first hosts of a data centre. */
export function getNear(dataCentre: number, count: number): readonly number[] {
  return everyHost.filter((at) => at % DATA_CENTRES === dataCentre)
    .slice(0, count);
}

/** The teams of the deployment. The first one floods. */
export function createShapes(flood: number): readonly TeamShape[] {
  return [
    { asked: flood, hosts: everyHost, prefixes: 150 },
    { asked: 2, hosts: getNear(2, 14), prefixes: 60 },
    { asked: 0.75, hosts: everyHost, prefixes: 25 },
    { asked: 0.87, hosts: getNear(0, 15), prefixes: 25 },
    { asked: 0.77, hosts: getNear(1, 13), prefixes: 22 },
    { asked: 0.54, hosts: getNear(3, 3), prefixes: 4 },
    { asked: 0.39, hosts: getNear(2, 2), prefixes: 12 },
    { asked: 0.1, hosts: getNear(4, 1), prefixes: 4 },
    ...Array.from(
      { length: 11 },
      () => ({ asked: 0.15, hosts: everyHost, prefixes: 8 }),
    ),
  ];
}

/** Simulates the deployment with these teams. */
export function simulateLargeFleet(
  shapes: readonly TeamShape[],
  options: Partial<
    Pick<SharedUpstreamsOptions, "coreShare" | "seed" | "slowdown">
  >,
): readonly PromptCounts[] {
  const asked = shapes.reduce((sum, each) => sum + each.asked, 0);
  return simulateSharedUpstreams({
    ...options,
    demandFactor: asked / CAPACITY,
    promptTokens: 0,
    upstreams: UPSTREAMS,
    dataCentres: DATA_CENTRES,
    responseMs: 700,
    teams: shapes.map(({ asked: own, hosts, prefixes }): SimulatedTeam => ({
      hosts,
      prefixes,
      kinds,
      weight: own / asked * shapes.length,
    })),
    lateShares: everyHost.map(() => 0.3),
    statedCapacityFactor: 3,
    refusesEarly: true,
    untilMs: UNTIL_SECOND * 1_000,
  });
}

/** Returns what a team got of what it asked, from the fourth second on. */
export function getShare(counts: PromptCounts): number {
  const sum = (bySecond: readonly number[]) =>
    bySecond.slice(FROM_SECOND, UNTIL_SECOND)
      .reduce((total, tokens) => total + tokens, 0);
  return sum(counts.begunTokensBySecond) / sum(counts.askedTokensBySecond);
}

/** Returns the shares of all teams but the first one. */
export function getShares(
  counts: readonly PromptCounts[],
): readonly number[] {
  return counts.slice(1).map(getShare);
}
