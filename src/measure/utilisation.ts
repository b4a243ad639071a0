/**
 * Scenario `utilisation`: measures the share of the slots in use while requests
 * wait, and how long a request waits while slots are free.
 *
 * @module
 */

import {
  baselines,
  type CreatePolicy,
  createRouterPolicy,
} from "./baselines.ts";
import {
  createContendedFleet,
  createReferenceFleet,
  FLEET_SLOTS,
} from "./contended.ts";
import type { FleetFixture } from "./fleet_fixture.ts";
import type { ScenarioOptions } from "./main.ts";
import { createRandom } from "./random.ts";
import { mapValues, type Report } from "./report.ts";
import { pickMixedCost, sendAtRate } from "./workload.ts";

const WARM_UP_MS = 10_000;
const END_MS = 70_000;

/**
 * Requests per second: half of what the slots serve, as a mean request takes
 * 1.76 s. All arrive at one host of each region.
 */
const HALF_LOAD_RATE = FLEET_SLOTS / 1.76 / 2;

/**
 * Bound of the wait for a free slot. After 200 ms the host has asked each of
 * the region's four owners. A message takes up to 1.5 ms and a flush up to 5 ms
 * on each side, and an owner that recalls a kept slot needs a second round
 * trip.
 */
const MAX_WAIT_AT_HALF_LOAD_MS = 250;

/** Runs the scenario with the router's policy and with each baseline. */
export function measureUtilisation(options: ScenarioOptions): Report {
  const baselineRatios = mapValues(
    baselines,
    (policy) => measureUtilisationRatio(options, policy),
  );
  return {
    scenario: "utilisation",
    ...options,
    figures: [
      {
        name: "use_while_work_waits_ratio",
        value: measureUtilisationRatio(options, createRouterPolicy),
        baselines: baselineRatios,
        bound: { kind: "at-least", value: 0.98 },
      },
      {
        name: "longest_wait_at_half_load_ms",
        value: measureLongestWaitAtHalfLoad(options, createRouterPolicy),
        baselines: mapValues(
          baselines,
          (policy) => measureLongestWaitAtHalfLoad(options, policy),
        ),
        bound: { kind: "at-most", value: MAX_WAIT_AT_HALF_LOAD_MS },
      },
    ],
  };
}

function getBusyMs(fixture: FleetFixture): number {
  return fixture.deployment.upstreams.reduce(
    (sum, each) => sum + fixture.getUpstream(each.id).getBusyMs(),
    0,
  );
}

function measureUtilisationRatio(
  { seed, hosts }: ScenarioOptions,
  createPolicy: CreatePolicy,
): number {
  const fixture = createContendedFleet({
    seed,
    hosts,
    createPolicy,
    untilMs: END_MS,
  });
  fixture.scheduler.runUntil(WARM_UP_MS);
  const beforeMs = getBusyMs(fixture);
  fixture.scheduler.runUntil(END_MS);
  const busyMs = getBusyMs(fixture) - beforeMs;
  return busyMs / (FLEET_SLOTS * (END_MS - WARM_UP_MS));
}

/**
 * Returns the longest wait at half load. Each region has free slots all the
 * time, so a wait is the time in which the host finds one.
 */
function measureLongestWaitAtHalfLoad(
  { seed, hosts }: ScenarioOptions,
  createPolicy: CreatePolicy,
): number {
  const random = createRandom(seed);
  const fixture = createReferenceFleet({ seed, hosts, createPolicy });
  for (const team of fixture.deployment.teams) {
    sendAtRate(fixture, {
      team: team.id,
      pickHost: () => fixture.hosts[random() < 0.5 ? 0 : 1]!,
      pickCost: () => pickMixedCost(random),
    }, {
      perSecond: HALF_LOAD_RATE / fixture.deployment.teams.length,
      untilMs: END_MS,
      random,
    });
  }
  fixture.scheduler.runUntil(WARM_UP_MS);
  fixture.scheduler.runUntil(END_MS + 10_000);
  return fixture.getRequests().reduce(
    (longest, each) => Math.max(longest, each.startedMs! - each.arrivedMs),
    0,
  );
}
