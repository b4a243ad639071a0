/**
 * Scenario `fairness`: measures the gap between teams while all are backlogged.
 * The teams have unequal weights and are spread unevenly over the hosts, costs
 * are known only at the end of a request, and cost hints are wrong by a factor
 * of ten.
 *
 * @module
 */

import { CROSS_REGION_PENALTY_REQUESTS } from "../fleet/mod.ts";
import {
  baselines,
  type CreatePolicy,
  createRouterPolicy,
} from "./baselines.ts";
import {
  createContendedFleet,
  FLEET_SLOTS,
  LARGEST_COST,
  TEAM_WEIGHTS,
} from "./contended.ts";
import { createGapMeter, getGapBound } from "./gap.ts";
import type { ScenarioOptions } from "./main.ts";
import { mapValues, type Report } from "./report.ts";
import { SERVICE } from "./workload.ts";

const WARM_UP_MS = 10_000;
const END_MS = 130_000;
const SAMPLE_MS = 250;

/**
 * Longest time until a charge is known to every owner: three exchanges up the
 * tree and three down, of 500 ms each.
 */
const LAG_SECONDS = 3;

interface Result {
  readonly gap: number;
  readonly bytesPerRequest: number;
  readonly servicePerSecond: number;
}

/** Runs the scenario with the router's policy and with each baseline. */
export function measureFairness(options: ScenarioOptions): Report {
  const routerResult = run(options, createRouterPolicy);
  const baselineResults = mapValues(
    baselines,
    (policy) => run(options, policy),
  );
  const gaps = mapValues(baselineResults, (result) => result.gap);
  const derived = getGapBound({
    weights: TEAM_WEIGHTS,
    largestCost: LARGEST_COST,
    slots: FLEET_SLOTS,
    servicePerSecond: routerResult.servicePerSecond,
    lagSeconds: LAG_SECONDS,
    crossRegionPenaltyRequests: CROSS_REGION_PENALTY_REQUESTS,
  });
  return {
    scenario: "fairness",
    ...options,
    figures: [
      {
        name: "fairness_gap_tokens",
        value: routerResult.gap,
        baselines: gaps,
        bound: { kind: "at-most", value: gaps.hostAlone! / 5 },
      },
      {
        name: "fairness_gap_against_derived_bound_tokens",
        value: routerResult.gap,
        baselines: {},
        bound: { kind: "at-most", value: derived },
      },
      {
        name: "control_bytes_per_request",
        value: routerResult.bytesPerRequest,
        baselines: mapValues(
          baselineResults,
          (result) => result.bytesPerRequest,
        ),
      },
    ],
  };
}

function run(options: ScenarioOptions, createPolicy: CreatePolicy): Result {
  const { seed, hosts } = options;
  const fixture = createContendedFleet({
    seed,
    hosts,
    createPolicy,
    untilMs: END_MS,
  });
  const meter = createGapMeter(fixture.deployment.teams);
  for (let ms = WARM_UP_MS; ms <= END_MS; ms += SAMPLE_MS) {
    fixture.scheduler.runUntil(ms);
    meter.sample(fixture.getService(SERVICE));
  }
  const answered = fixture.getRequests()
    .filter((each) => each.state === "answered").length;
  const service = [...fixture.getService(SERVICE).values()]
    .reduce((sum, each) => sum + each, 0);
  return {
    gap: meter.getGap(),
    bytesPerRequest: fixture.getControlTraffic().bytes / answered,
    servicePerSecond: service * 1_000 / END_MS,
  };
}
