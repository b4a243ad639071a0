/**
 * A soak test in virtual time: a minute of random faults over hosts with real
 * views of the platform's tables, while configurations and upstreams change.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import { READER_COUNT, TABLE_NAMES } from "../discovery/mod.ts";
import { createRandom, type Random } from "../measure/random.ts";
import { createFaultSchedule } from "./simulated_faults.ts";
import { createPlatformViewChecks } from "./platform_view_checks.ts";
import { createPlatformViewFleet, runFleet } from "./platform_view_fleet.ts";

/** Options of one run. */
export interface SoakOptions {
  readonly seed: number;
  readonly hosts: number;
  /** Whether hosts distribute tables; false shows that the checks can fail. */
  readonly distributesTables?: boolean;
}

/** Result of one run. */
export interface SoakResult {
  readonly seed: number;
  /** Each violation, as a sentence with its time. */
  readonly violations: readonly string[];
  /** Longest time from its acceptance that a host lacked a change, in ms. */
  readonly worstDelayMs: number;
  /** Calls to the platform while no fault was active. */
  readonly steadyStateCalls: number;
  /**
   * Calls that the readers need in that time: one per second and table, and one
   * more for each change.
   */
  readonly neededCalls: number;
}

/** Time after a fault at which all hosts count as reachable again, in ms. */
const RECOVERY_MS = 4_000;

const SIMULATED_MS = 60_000;
const STEP_MS = 100;

/** Most time from a restore until the lost changes are written again, in ms. */
const MAX_REWRITE_DELAY_MS = 1_000;

/** Probability that an upstream reports in a step that it is leaving. */
const LEAVE_PROBABILITY = 0.01;

/** Most time between two changes of a table, in ms. */
const MAX_CONFIG_INTERVAL_MS = 2_500;
const MAX_UPSTREAM_INTERVAL_MS = 3_000;

/** Runs one seed. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const fleet = createPlatformViewFleet(options);
  const random = createRandom(options.seed);
  const faults = createFaultSchedule(fleet, random);
  const checks = createPlatformViewChecks(fleet);
  const changeConfig = createRandomRepeater(
    MAX_CONFIG_INTERVAL_MS,
    checks.changeConfig,
  );
  const changeUpstreams = createRandomRepeater(
    MAX_UPSTREAM_INTERVAL_MS,
    checks.changeUpstreams,
  );
  let restores = 0;
  let rewriteAtMs = Infinity;
  let lastExcusedMs = 0;
  let steadyStateCalls = 0;
  let neededCalls = 0;

  const getHealthyMs = () => fleet.nowMs() - lastExcusedMs;

  /** Writes lost changes again, a random time after a restore. */
  function rewriteAfterRestore(): void {
    const nowMs = fleet.nowMs();
    if (faults.countRestores() > restores) {
      restores = faults.countRestores();
      rewriteAtMs = nowMs + random() * MAX_REWRITE_DELAY_MS;
    }
    if (nowMs < rewriteAtMs) return;
    rewriteAtMs = Infinity;
    checks.rewriteTables();
  }

  /** Counts the calls of a step, unless a fault is or was recently active. */
  function countCalls(calls: number, changes: number): void {
    if (faults.hasAny() || getHealthyMs() < 2 * RECOVERY_MS) return;
    steadyStateCalls += calls;
    neededCalls += READER_COUNT *
      (TABLE_NAMES.length * STEP_MS / 1_000 + changes);
  }

  const step = Effect.gen(function* () {
    const callsBefore = fleet.tables.countCalls();
    const changesBefore = checks.countChanges();
    changeConfig(fleet.nowMs(), random);
    changeUpstreams(fleet.nowMs(), random);
    if (random() < LEAVE_PROBABILITY) {
      checks.markUpstreamLeaving(
        fleet.hosts[Math.floor(random() * fleet.hosts.length)]!,
      );
    }
    yield* faults.update;
    rewriteAfterRestore();
    if (faults.hasDelayingFault()) lastExcusedMs = fleet.nowMs();
    yield* fleet.run(STEP_MS);
    checks.checkNoReversion();
    if (getHealthyMs() >= RECOVERY_MS) checks.checkPropagation();
    countCalls(
      fleet.tables.countCalls() - callsBefore,
      checks.countChanges() - changesBefore,
    );
  });

  await runFleet(Effect.gen(function* () {
    yield* fleet.start;
    while (fleet.nowMs() < SIMULATED_MS) yield* step;
  }));
  return {
    seed: options.seed,
    violations: checks.violations,
    worstDelayMs: checks.getWorstDelayMs(),
    steadyStateCalls,
    neededCalls,
  };
}

/** Creates a function that runs the action at random times, first at once. */
function createRandomRepeater(
  maxIntervalMs: number,
  act: () => void,
): (nowMs: number, random: Random) => void {
  let nextMs = 0;
  return (nowMs, random) => {
    if (nowMs < nextMs) return;
    nextMs = nowMs + random() * maxIntervalMs;
    act();
  };
}
