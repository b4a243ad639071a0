/**
 * A minute of troubles over hosts with the real knowledge of the platform's
 * tables, while operators and upstreams change things. In virtual time.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import { READER_COUNT, TABLE_NAMES } from "../discovery/mod.ts";
import { createRandom, type Random } from "../measure/random.ts";
import { createTroubles } from "./simulated_faults.ts";
import { createKnowledgeChecks } from "./platform_view_checks.ts";
import { createKnowledgeFleet, runFleet } from "./platform_view_fleet.ts";

/** What is played. */
export interface SoakOptions {
  readonly seed: number;
  readonly hosts: number;
  /** False: hosts tell each other nothing; for showing that checks can fail. */
  readonly isPassingOn?: boolean;
}

/** What became of the promises. */
export interface SoakResult {
  readonly seed: number;
  /** Each broken promise as one sentence with its time. */
  readonly broken: readonly string[];
  /** Longest time in which a change was not known where it had to be, in ms. */
  readonly worstMs: number;
  /** Calls to the platform while there was no trouble. */
  readonly calmCalls: number;
  /**
   * What the readers need in that time: a call a second for each table, and one
   * more for each change.
   */
  readonly neededCalls: number;
}

/** After the end of a trouble all hosts count as reachable again, in ms. */
const CALM_MS = 4_000;

const PLAYED_MS = 60_000;
const STEP_MS = 100;

/** After its return all is written again at the platform within so long, in ms. */
const WRITTEN_AGAIN_MS = 1_000;

/** In so many steps an upstream says that it leaves. */
const LEAVE_SHARE = 0.01;

/** Between two changes of a table, at most, in ms. */
const CONFIG_GAP_MS = 2_500;
const UPSTREAM_GAP_MS = 3_000;

/** Plays one seed. */
export async function playSoak(options: SoakOptions): Promise<SoakResult> {
  const fleet = createKnowledgeFleet(options);
  const random = createRandom(options.seed);
  const troubles = createTroubles(fleet, random);
  const checks = createKnowledgeChecks(fleet);
  const changeConfig = createRepeated(CONFIG_GAP_MS, checks.changeConfig);
  const changeUpstreams = createRepeated(
    UPSTREAM_GAP_MS,
    checks.changeUpstreams,
  );
  let returns = 0;
  let writeAgainMs = Infinity;
  let excusedMs = 0;
  let calmCalls = 0;
  let neededCalls = 0;

  const getCalmMs = () => fleet.nowMs() - excusedMs;

  /** What the platform has lost is written again a moment after its return. */
  function writeAgain(): void {
    const nowMs = fleet.nowMs();
    if (troubles.countReturns() > returns) {
      returns = troubles.countReturns();
      writeAgainMs = nowMs + random() * WRITTEN_AGAIN_MS;
    }
    if (nowMs < writeAgainMs) return;
    writeAgainMs = Infinity;
    checks.writeAgain();
  }

  /** What a step without any trouble cost. */
  function countCalls(calls: number, changes: number): void {
    if (troubles.hasAny() || getCalmMs() < 2 * CALM_MS) return;
    calmCalls += calls;
    neededCalls += READER_COUNT *
      (TABLE_NAMES.length * STEP_MS / 1_000 + changes);
  }

  const step = Effect.gen(function* () {
    const callsBefore = fleet.tables.countCalls();
    const changesBefore = checks.countChanges();
    changeConfig(fleet.nowMs(), random);
    changeUpstreams(fleet.nowMs(), random);
    if (random() < LEAVE_SHARE) {
      checks.leave(fleet.hosts[Math.floor(random() * fleet.hosts.length)]!);
    }
    yield* troubles.update;
    writeAgain();
    if (troubles.hasExcuse()) excusedMs = fleet.nowMs();
    yield* fleet.run(STEP_MS);
    checks.checkOrder();
    if (getCalmMs() >= CALM_MS) checks.checkKnown();
    countCalls(
      fleet.tables.countCalls() - callsBefore,
      checks.countChanges() - changesBefore,
    );
  });

  await runFleet(Effect.gen(function* () {
    yield* fleet.start;
    while (fleet.nowMs() < PLAYED_MS) yield* step;
  }));
  return {
    seed: options.seed,
    broken: checks.broken,
    worstMs: checks.getWorstMs(),
    calmCalls,
    neededCalls,
  };
}

/** Makes what runs the action now and then, first at once. */
function createRepeated(
  gapMs: number,
  act: () => void,
): (nowMs: number, random: Random) => void {
  let nextMs = 0;
  return (nowMs, random) => {
    if (nowMs < nextMs) return;
    nextMs = nowMs + random() * gapMs;
    act();
  };
}
