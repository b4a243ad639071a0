/**
 * Scenario `flood`: one team sends a hundred times its share at every host while
 * the small teams send what they always do. Compares the small teams' waits with
 * those of the same run without the flood.
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

/** Requests a second that all slots together serve, at the mixed costs. */
const FLEET_RATE = FLEET_SLOTS / 1.76;

/** The other teams together use so much of the fleet, well below their share. */
const BACKGROUND_UTILISATION = 0.6;

/** The flooding team's callers give up after this; the others wait longer. */
const FLOOD_TIMEOUT_MS = 2_000;

/**
 * A small team's longest wait under the flood, in terms of the time in which its
 * share of the fleet serves the largest request: it may have just had one, and
 * then waits until the others have had as much. Unfair would be a wait that
 * grows with the flood.
 */
const MAX_EXTRA_WAIT_IN_LARGEST_REQUESTS = 2;

interface Result {
  readonly longestMs: number;
  readonly p99Ms: number;
  readonly unanswered: number;
}

/** Runs the scenario with the router's decisions and with each baseline. */
export function measureFlood(options: ScenarioOptions): Report {
  const withoutFlood = run(options, createRouterPolicy, false);
  const withFlood = run(options, createRouterPolicy, true);
  const others = mapValues(baselines, (policy) => run(options, policy, true));
  return {
    scenario: "flood",
    ...options,
    figures: [
      {
        name: "small_team_longest_wait_ms",
        value: withFlood.longestMs,
        baselines: {
          withoutFlood: withoutFlood.longestMs,
          ...mapValues(others, (result) => result.longestMs),
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
          ...mapValues(others, (result) => result.p99Ms),
        },
      },
      {
        name: "small_team_unanswered_requests",
        value: withFlood.unanswered,
        baselines: mapValues(others, (result) => result.unanswered),
        bound: { kind: "at-most", value: 0 },
      },
    ],
  };
}

/** Time in which a share of weight one serves the largest request. */
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
