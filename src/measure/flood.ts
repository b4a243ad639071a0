/**
 * Scenario `flood`: one team sends a hundred times its share through all hosts,
 * while the other teams send their usual load. Compares the waiting times of
 * the other teams ("small teams" in the figures) with a run without the flood.
 *
 * @module
 */

import {
  baselines,
  type CreatePolicy,
  createRouterPolicy,
} from "./baselines.ts";
import {
  createReferenceFleet,
  FLEET_SLOTS,
  LARGEST_COST,
  TEAM_WEIGHTS,
} from "./contended.ts";
import { defaultFixtureTimes, type FleetFixture } from "./fleet_fixture.ts";
import type { ScenarioOptions } from "./main.ts";
import { createRandom, type Random } from "./random.ts";
import { mapValues, type Report } from "./report.ts";
import { pickMixedCost, sendAtRate } from "./workload.ts";

const END_MS = 60_000;
const FLOOD_FACTOR = 100;

/**
 * Requests per second that all slots together serve: a request with the mean of
 * the mixed costs takes 1.76 s.
 */
const FLEET_RATE = FLEET_SLOTS / 1.76;

/** Share of the fleet that the other teams use, well below their fair share. */
const BACKGROUND_UTILISATION = 0.6;

/**
 * Time-out of the flooding team's callers; those of other teams wait longer.
 */
const FLOOD_TIMEOUT_MS = 2_000;

/**
 * How much longer a small team may wait than without the flood, in multiples of
 * the time in which the team's share of the fleet serves the largest request.
 * After such a request the team waits until other teams have received as much
 * service, which is fair; a wait that grows with the flood would not be.
 */
const MAX_EXTRA_WAIT_IN_LARGEST_REQUESTS = 2;

interface Result {
  readonly longestMs: number;
  readonly p99Ms: number;
  readonly unanswered: number;
}

/** Runs the scenario with the router's policy and with each baseline. */
export function measureFlood(options: ScenarioOptions): Report {
  const withoutFlood = run(options, createRouterPolicy, false);
  const withFlood = run(options, createRouterPolicy, true);
  const baselineResults = mapValues(
    baselines,
    (policy) => run(options, policy, true),
  );
  return {
    scenario: "flood",
    ...options,
    figures: [
      {
        name: "small_team_longest_wait_ms",
        value: withFlood.longestMs,
        baselines: {
          withoutFlood: withoutFlood.longestMs,
          ...mapValues(baselineResults, (result) => result.longestMs),
        },
        bound: {
          kind: "at-most",
          value: withoutFlood.longestMs +
            MAX_EXTRA_WAIT_IN_LARGEST_REQUESTS * getLargestRequestMs(),
        },
      },
      {
        name: "small_team_p99_wait_ms",
        value: withFlood.p99Ms,
        baselines: {
          withoutFlood: withoutFlood.p99Ms,
          ...mapValues(baselineResults, (result) => result.p99Ms),
        },
      },
      {
        name: "small_team_unanswered_requests",
        value: withFlood.unanswered,
        baselines: mapValues(baselineResults, (result) => result.unanswered),
        bound: { kind: "at-most", value: 0 },
      },
    ],
  };
}

/**
 * Time in which the share of a team with weight one serves the largest request.
 */
function getLargestRequestMs(): number {
  const totalWeight = TEAM_WEIGHTS.reduce((sum, each) => sum + each, 0);
  const tokensPerMs = FLEET_SLOTS / defaultFixtureTimes.tokenMs;
  return LARGEST_COST * totalWeight / tokensPerMs;
}

function run(
  { seed, hosts }: ScenarioOptions,
  createPolicy: CreatePolicy,
  isFlooded: boolean,
): Result {
  const random = createRandom(seed);
  const fixture = createReferenceFleet({ seed, hosts, createPolicy });
  sendBackgroundLoad(fixture, random);
  if (isFlooded) sendFlood(fixture, random);
  fixture.scheduler.runUntil(END_MS + 30_000);
  const smallTeamRequests = fixture.getRequests().filter((each) =>
    each.team !== "team-1"
  );
  const waits = smallTeamRequests.flatMap((each) =>
    each.startedMs === undefined ? [] : [each.startedMs - each.arrivedMs]
  ).sort((a, b) => a - b);
  return {
    longestMs: waits.at(-1)!,
    p99Ms: waits[Math.floor(waits.length * 0.99)]!,
    unanswered:
      smallTeamRequests.filter((each) => each.state !== "answered").length,
  };
}

function sendBackgroundLoad(fixture: FleetFixture, random: Random): void {
  const [, ...others] = fixture.deployment.teams;
  const weight = others.reduce((sum, team) => sum + team.weight, 0);
  for (const team of others) {
    const rate = FLEET_RATE * BACKGROUND_UTILISATION * team.weight / weight;
    sendAtRate(fixture, {
      team: team.id,
      pickHost: () => pickHost(fixture, random),
      pickCost: () => pickMixedCost(random),
    }, { perSecond: rate, untilMs: END_MS, random });
  }
}

function sendFlood(fixture: FleetFixture, random: Random): void {
  const totalWeight = TEAM_WEIGHTS.reduce((sum, each) => sum + each, 0);
  const share = FLEET_RATE * TEAM_WEIGHTS[0]! / totalWeight;
  sendAtRate(fixture, {
    team: "team-1",
    pickHost: () => pickHost(fixture, random),
    pickCost: () => pickMixedCost(random),
    timeoutMs: FLOOD_TIMEOUT_MS,
  }, { perSecond: share * FLOOD_FACTOR, untilMs: END_MS, random });
}

function pickHost(fixture: FleetFixture, random: Random) {
  return fixture.hosts[Math.floor(random() * fixture.hosts.length)]!;
}
