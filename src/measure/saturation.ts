/**
 * Scenario `saturation`: two minutes at twice the load that the fleet can
 * serve. Measures the goodput, which counts answers before their deadlines
 * only, how many refusals come on arrival, and whether the queues stay bounded.
 * Baseline: every request is admitted and waits until its deadline.
 *
 * @module
 */

import { HOST_QUEUE_LIMIT } from "../admission/mod.ts";
import {
  type AdmittedLoad,
  createAdmittedLoad,
  getGoodput,
  sendByWeight,
} from "./admitted_load.ts";
import { createRouterPolicy } from "./baselines.ts";
import { createReferenceFleet, FLEET_SLOTS } from "./contended.ts";
import type { ScenarioOptions } from "./main.ts";
import { createRandom } from "./random.ts";
import type { Report } from "./report.ts";

/** Requests per second that the slots serve; a mean request takes 1.76 s. */
const CAPACITY_PER_S = FLEET_SLOTS / 1.76;

const TIMEOUT_MS = 20_000;
const BODY_BYTES = 20_000;
const WINDOW = { fromMs: 40_000, toMs: 160_000 };

/**
 * Runs the scenario at one and two times the capacity, and at two times without
 * refusals.
 */
export function measureSaturation(options: ScenarioOptions): Report {
  const singleLoad = runLoad(options, 1, true);
  const doubleLoad = runLoad(options, 2, true);
  const withoutRefusals = runLoad(options, 2, false);
  const base = getGoodput(singleLoad, WINDOW);
  const getGoodputRatio = (load: AdmittedLoad) =>
    getGoodput(load, WINDOW) / base;
  return {
    scenario: "saturation",
    ...options,
    figures: [
      {
        name: "goodput_at_2x_to_1x_ratio",
        value: getGoodputRatio(doubleLoad),
        baselines: { withoutRefusals: getGoodputRatio(withoutRefusals) },
        bound: { kind: "at-least", value: 0.95 },
      },
      {
        name: "goodput_at_1x_tokens_per_s",
        value: base,
        baselines: {},
      },
      {
        name: "not_run_told_at_once_share",
        value: getImmediateRefusalShare(doubleLoad),
        baselines: {
          withoutRefusals: getImmediateRefusalShare(withoutRefusals),
        },
        bound: { kind: "at-least", value: 0.9 },
      },
      {
        name: "admitted_answered_in_time_share",
        value: getInTimeShare(doubleLoad),
        baselines: { withoutRefusals: getInTimeShare(withoutRefusals) },
        bound: { kind: "at-least", value: 0.9 },
      },
      {
        name: "most_waiting_at_a_host",
        value: doubleLoad.getPeakWaiting().requests,
        baselines: {
          withoutRefusals: withoutRefusals.getPeakWaiting().requests,
        },
        bound: { kind: "at-most", value: HOST_QUEUE_LIMIT.requests },
      },
      {
        name: "most_waiting_at_a_host_bytes",
        value: doubleLoad.getPeakWaiting().bytes,
        baselines: { withoutRefusals: withoutRefusals.getPeakWaiting().bytes },
        bound: { kind: "at-most", value: HOST_QUEUE_LIMIT.bytes },
      },
    ],
  };
}

function runLoad(
  { seed, hosts }: ScenarioOptions,
  factor: number,
  refusesCalls: boolean,
): AdmittedLoad {
  const random = createRandom(seed);
  const fixture = createReferenceFleet({
    seed,
    hosts,
    createPolicy: createRouterPolicy,
  });
  const load = createAdmittedLoad(fixture, {
    random,
    bodyBytes: BODY_BYTES,
    refusesCalls,
  });
  sendByWeight(load, fixture, {
    perSecond: factor * CAPACITY_PER_S,
    timeoutMs: TIMEOUT_MS,
    random,
  });
  fixture.scheduler.runUntil(WINDOW.toMs);
  return load;
}

/** Returns the share of refusals on arrival among the calls not answered. */
function getImmediateRefusalShare(load: AdmittedLoad): number {
  const notRun = load.getOutcomes().filter((end) =>
    end.result !== "answered" && end.arrivedMs >= WINDOW.fromMs
  );
  const refused = notRun.filter((end) => end.result === "refused");
  return notRun.length === 0 ? 1 : refused.length / notRun.length;
}

/** Returns the share of calls answered in time among the admitted ones. */
function getInTimeShare(load: AdmittedLoad): number {
  const admitted = load.getOutcomes().filter((end) =>
    end.result !== "refused" && end.arrivedMs >= WINDOW.fromMs
  );
  const inTime = admitted.filter((end) =>
    end.result === "answered" && end.endedMs <= end.deadlineMs
  );
  return inTime.length / admitted.length;
}
