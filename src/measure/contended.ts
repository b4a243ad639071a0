/**
 * The fleet that most scenarios share, without load and with every team
 * backlogged.
 *
 * @module
 */

import type { CreatePolicy } from "./baselines.ts";
import {
  createFleetFixture,
  defaultFixtureTimes,
  type FleetFixture,
} from "./fleet_fixture.ts";
import { createRandom, type Random } from "./random.ts";
import { createDeployment, keepBacklogged, pickMixedCost } from "./workload.ts";

/** Weights of the sixteen teams: four are large, twelve have weight one. */
export const TEAM_WEIGHTS = [4, 4, 3, 3, ...Array(12).fill(1) as number[]];

/** Slots of the fleet, on 8 engines in 4 data centres of 2 regions. */
export const FLEET_SLOTS = 96;
const FLEET_UPSTREAMS = 8;

/** Upper limit of the costs that `pickMixedCost` returns. */
export const LARGEST_COST = 400;

/** Options that vary a run. */
export interface ContendedFleetOptions {
  readonly seed: number;
  readonly hosts: number;
  readonly createPolicy: CreatePolicy;
  readonly untilMs: number;
}

/** Creates the fleet without load. */
export function createReferenceFleet(
  options: Omit<ContendedFleetOptions, "untilMs"> & { stallTimeoutMs?: number },
): FleetFixture {
  const deployment = createDeployment({
    regions: 2,
    dataCentresPerRegion: 2,
    upstreams: FLEET_UPSTREAMS,
    slotsPerUpstream: FLEET_SLOTS / FLEET_UPSTREAMS,
    weights: TEAM_WEIGHTS,
    expectedCost: 60,
  });
  return createFleetFixture({
    ...defaultFixtureTimes,
    ...options,
    deployment,
  });
}

/**
 * Creates the fleet with every team backlogged until `untilMs` of virtual time.
 * Cost hints are wrong by a factor of ten, upwards or downwards.
 */
export function createContendedFleet(
  options: ContendedFleetOptions,
): FleetFixture {
  const random = createRandom(options.seed);
  const fixture = createReferenceFleet(options);
  const totalWeight = TEAM_WEIGHTS.reduce((sum, each) => sum + each, 0);
  for (const team of fixture.deployment.teams) {
    const entryHosts = pickEntryHosts(options.hosts, random);
    const share = FLEET_SLOTS * team.weight / totalWeight;
    keepBacklogged(fixture, {
      team: team.id,
      pickHost: () =>
        fixture.hosts[entryHosts[Math.floor(random() * entryHosts.length)]!]!,
      pickCost: () => pickMixedCost(random),
      getHint: (cost) => random() < 0.5 ? cost * 10 : cost / 10,
    }, { depth: Math.ceil(4 * share) + 16, untilMs: options.untilMs });
  }
  return fixture;
}

/**
 * Picks one to four hosts that a team's callers use. The first stands three
 * times in the list, so that a random pick prefers it.
 */
export function pickEntryHosts(
  hosts: number,
  random: Random,
): readonly number[] {
  const count = 1 + Math.floor(random() * Math.min(hosts, 4));
  const entryHosts = Array.from(
    { length: count },
    () => Math.floor(random() * hosts),
  );
  return [...entryHosts, entryHosts[0]!, entryHosts[0]!];
}
