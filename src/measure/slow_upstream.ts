/**
 * Scenario `slow-upstream`: one of eight engines becomes ten times slower, then
 * stalls, then recovers, while the load is 80% of the capacity of all engines.
 * Baseline: a static limit, the configured number of slots.
 *
 * @module
 */

import type { AdaptiveLimit } from "../slots/adaptive_limit.ts";
import {
  type AdmittedLoad,
  createAdmittedLoad,
  sendByWeight,
} from "./admitted_load.ts";
import { type CreatePolicy, createRouterPolicy } from "./baselines.ts";
import { createReferenceFleet, FLEET_SLOTS } from "./contended.ts";
import { defaultFixtureTimes, type FleetFixture } from "./fleet_fixture.ts";
import type { ScenarioOptions } from "./main.ts";
import { createRandom } from "./random.ts";
import type { Report } from "./report.ts";

/** Requests per second: 80% of the capacity of eight engines, 91% of seven. */
const PER_SECOND = 0.8 * FLEET_SLOTS / 1.76;

const TIMEOUT_MS = 20_000;
const SLOW_MS = 40_000;
const STALL_MS = 100_000;
const RECOVER_MS = 160_000;
const RECOVERED_MS = 190_000;
const END_MS = 220_000;
const SLOW_ENGINE = "engine-1";
const STALL_TIMEOUT_MS = 5_000;

/**
 * Most requests that may start at the stalled engine: 12 if it stalls at its
 * full limit of 12 slots, and five probes.
 */
const MAX_STARTS_WHILE_STALLED = 17;

interface Run {
  readonly load: AdmittedLoad;
  readonly fixture: FleetFixture;
  /** Number of requests that started at the engine while it was stalled. */
  readonly startsWhileStalled: number;
  /** Share of the engine's slots in use after it has recovered. */
  readonly utilisationAfterRecovery: number;
}

/** Runs the scenario with the adaptive limit and with the static one. */
export function measureSlowUpstream(options: ScenarioOptions): Report {
  const adaptiveLimit = runCase(options, createRouterPolicy);
  const staticLimit = runCase(options, createStaticLimitPolicy);
  const figure = (
    name: string,
    get: (run: Run) => number,
    bound?: { kind: "at-most" | "at-least"; value: number },
  ) => ({
    name,
    value: get(adaptiveLimit),
    baselines: { staticLimit: get(staticLimit) },
    bound,
  });
  return {
    scenario: "slow-upstream",
    ...options,
    figures: [
      figure(
        "in_time_while_slow_share",
        (run) => getInTimeShare(run.load, SLOW_MS, STALL_MS),
        { kind: "at-least", value: 0.95 },
      ),
      figure(
        "in_time_while_stalled_share",
        (run) => getInTimeShare(run.load, STALL_MS, RECOVER_MS),
        { kind: "at-least", value: 0.95 },
      ),
      figure(
        "p99_stretch_before_ratio",
        (run) => getP99Stretch(run.load, 10_000, SLOW_MS),
      ),
      figure(
        "p99_stretch_while_slow_ratio",
        (run) => getP99Stretch(run.load, SLOW_MS + 10_000, STALL_MS),
      ),
      figure(
        "p99_stretch_while_stalled_ratio",
        (run) => getP99Stretch(run.load, STALL_MS + 10_000, RECOVER_MS),
      ),
      figure(
        "requests_taken_by_stalled_engine",
        (run) => run.startsWhileStalled,
        { kind: "at-most", value: MAX_STARTS_WHILE_STALLED },
      ),
      figure(
        "use_of_engine_after_recovery_share",
        (run) => run.utilisationAfterRecovery,
        { kind: "at-least", value: 0.5 },
      ),
    ],
  };
}

/** Limits requests to the configured slots, whatever the engine's state is. */
const createStaticLimitPolicy: CreatePolicy = () => ({
  ...createRouterPolicy(),
  createLimit: ({ maxSlots }): AdaptiveLimit => ({
    get: () => maxSlots,
    getState: () => "closed",
    observeStart() {},
    observeEnd() {},
    observeUnused() {},
    tick() {},
    setMaxSlots() {},
  }),
});

function runCase(
  { seed, hosts }: ScenarioOptions,
  createPolicy: CreatePolicy,
): Run {
  const random = createRandom(seed);
  const fixture = createReferenceFleet({
    seed,
    hosts,
    createPolicy,
    stallTimeoutMs: STALL_TIMEOUT_MS,
  });
  const load = createAdmittedLoad(fixture, {
    random,
    bodyBytes: 20_000,
    refusesCalls: true,
  });
  const { scheduler } = fixture;
  sendByWeight(load, fixture, {
    perSecond: PER_SECOND,
    timeoutMs: TIMEOUT_MS,
    random,
  });
  const engine = fixture.getUpstream(SLOW_ENGINE);
  scheduler.runUntil(SLOW_MS);
  engine.setSlowFactor(10);
  scheduler.runUntil(STALL_MS);
  engine.setStalled(true);
  scheduler.runUntil(RECOVER_MS);
  const startsWhileStalled = countStarts(fixture, STALL_MS, RECOVER_MS);
  engine.setSlowFactor(1);
  engine.setStalled(false);
  scheduler.runUntil(RECOVERED_MS);
  const busyMs = engine.getBusyMs();
  scheduler.runUntil(END_MS);
  const slots = fixture.deployment.upstreams[0]!.maxSlots;
  const usedMs = engine.getBusyMs() - busyMs;
  const utilisationAfterRecovery = usedMs / slots / (END_MS - RECOVERED_MS);
  return { load, fixture, startsWhileStalled, utilisationAfterRecovery };
}

function countStarts(
  fixture: FleetFixture,
  fromMs: number,
  toMs: number,
): number {
  return fixture.getRequests().filter((req) =>
    req.upstream === SLOW_ENGINE && req.startedMs! >= fromMs &&
    req.startedMs! < toMs
  ).length;
}

/**
 * Returns the share answered in time among the calls that arrived in a period.
 */
function getInTimeShare(
  load: AdmittedLoad,
  fromMs: number,
  toMs: number,
): number {
  const calls = load.getOutcomes().filter((end) =>
    end.arrivedMs >= fromMs && end.arrivedMs < toMs
  );
  const inTime = calls.filter((end) =>
    end.result === "answered" && end.endedMs <= end.deadlineMs
  );
  return inTime.length / calls.length;
}

/**
 * Returns the 99th percentile of the stretch: the time from arrival to end,
 * divided by the duration of the answer on an idle engine at normal speed.
 */
function getP99Stretch(
  load: AdmittedLoad,
  fromMs: number,
  toMs: number,
): number {
  const { firstTokenMs, tokenMs } = defaultFixtureTimes;
  const ratios = load.getOutcomes()
    .filter((end) => end.result === "answered")
    .filter((end) => end.arrivedMs >= fromMs && end.arrivedMs < toMs)
    .map((end) =>
      (end.endedMs - end.arrivedMs) / (firstTokenMs + end.cost * tokenMs)
    )
    .sort((a, b) => a - b);
  return ratios[Math.floor(ratios.length * 0.99)] ?? 0;
}
