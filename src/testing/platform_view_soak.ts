/**
 * A minute of troubles over hosts with the real knowledge of the platform's
 * tables, while operators and upstreams change things. In virtual time.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import { READER_COUNT, TABLE_NAMES } from "../discovery/mod.ts";
import { createRandom, type Random } from "../measure/random.ts";
import { createFaultSchedule } from "./simulated_faults.ts";
import { createPlatformViewChecks } from "./platform_view_checks.ts";
import { createPlatformViewFleet, runFleet } from "./platform_view_fleet.ts";

/** What is played. */
export interface SoakOptions {
  readonly seed: number;
  readonly hosts: number;
  /** False: hosts tell each other nothing; for showing that checks can fail. */
  readonly distributesTables?: boolean;
}

/** What became of the promises. */
export interface SoakResult {
  readonly seed: number;
  /** Each broken promise as one sentence with its time. */
  readonly violations: readonly string[];
  /** Longest time in which a change was not known where it had to be, in ms. */
  readonly worstDelayMs: number;
  /** Calls to the platform while there was no trouble. */
  readonly steadyStateCalls: number;
  /**
   * What the readers need in that time: a call a second for each table, and one
   * more for each change.
   */
  readonly neededCalls: number;
}

/** After the end of a trouble all hosts count as reachable again, in ms. */
const RECOVERY_MS = 4_000;

const SIMULATED_MS = 60_000;
const STEP_MS = 100;

/** After its return all is written again at the platform within so long, in ms. */
const MAX_REWRITE_DELAY_MS = 1_000;

/** In so many steps an upstream says that it leaves. */
const LEAVE_PROBABILITY = 0.01;

/** Between two changes of a table, at most, in ms. */
const MAX_CONFIG_INTERVAL_MS = 2_500;
const MAX_UPSTREAM_INTERVAL_MS = 3_000;

/** Plays one seed. */
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

  /** What the platform has lost is written again a moment after its return. */
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

  /** What a step without any trouble cost. */
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

/** Makes what runs the action now and then, first at once. */
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
