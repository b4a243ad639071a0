/**
 * Scenario `prompt-load`: a heavy day's prompts, half of them from one team, before
 * six engines. Compares the queue's policy with earlier ones and with hosts that
 * know only their own load, in the same run.
 *
 * @module
 */

import {
  defaultPromptQueueOptions,
  type PromptQueueOptions,
  type WaitingPrompt,
} from "../queue/mod.ts";
import { getPrefillMs, largeChunkEngine } from "../testing/emulated_engine.ts";
import type { ScenarioOptions } from "./main.ts";
import { getMeans, type PromptResult } from "./prompt_result.ts";
import { playPrompts } from "./prompt_world.ts";
import { mapValues, type Report } from "./report.ts";

const FACTOR = 1;
const FLOOD_SHARE = 0.5;

/** Runs with seeds after the one given; one run's figures differ by 0.03. */
const RUNS = 4;

/** Longest pause that is on time beside the engines played, in ms. */
const PAUSE_TARGET_MS = 400;

/** A queue's policy, for comparison. */
export interface PromptPolicy {
  readonly queue: PromptQueueOptions;
  readonly isLoadShared: boolean;
  /** What an upstream may have to read at once, if it isn't learned. */
  readonly limitTokens?: number;
  /** What a prompt counts for, if not its tokens. */
  readonly getReading?: (tokens: number, keptTokens: number) => number;
}

const ours: PromptPolicy = {
  queue: defaultPromptQueueOptions,
  isLoadShared: true,
};

function compareOldestFirst(a: WaitingPrompt, b: WaitingPrompt): number {
  return a.arrivedMs - b.arrivedMs;
}

/** A prompt counts for all that it has to read. */
const countedWhole: PromptQueueOptions = {
  ...defaultPromptQueueOptions,
  maxCountedShare: Infinity,
};

/** Counts ms of reading, by the sheet of one deployment's engines. */
const countedByOneSheet: PromptPolicy = {
  queue: { ...countedWhole, negligibleTokens: 15 },
  isLoadShared: true,
  limitTokens: 150,
  getReading: (tokens, keptTokens) =>
    Math.ceil(getPrefillMs(largeChunkEngine, tokens, keptTokens)),
};

/** Twice as much being read at an upstream, the oldest first. */
export const earlierPolicy: PromptPolicy = {
  ...countedByOneSheet,
  queue: {
    ...countedByOneSheet.queue,
    spilloverShare: 0.25,
    refusesEarly: false,
    yieldsToUnderserved: false,
    compare: compareOldestFirst,
  },
  limitTokens: 300,
};

/** A limit fixed for the engines of one deployment. */
export const fixedPolicy: PromptPolicy = countedByOneSheet;

const baselines: Readonly<Record<string, PromptPolicy>> = {
  earlier: earlierPolicy,
  fixed: fixedPolicy,
  counted_whole: { ...ours, queue: countedWhole },
  oldest_first: {
    ...ours,
    queue: { ...defaultPromptQueueOptions, compare: compareOldestFirst },
  },
  floods_yield_nothing: {
    ...ours,
    queue: {
      ...defaultPromptQueueOptions,
      overShareLimit: defaultPromptQueueOptions.limit,
    },
  },
  sparse_yield_nothing: {
    ...ours,
    queue: {
      ...defaultPromptQueueOptions,
      inefficientLimit: defaultPromptQueueOptions.limit,
    },
  },
  never_elsewhere: {
    ...ours,
    queue: { ...defaultPromptQueueOptions, spilloverShare: Infinity },
  },
  never_refused_early: {
    ...ours,
    queue: { ...defaultPromptQueueOptions, refusesEarly: false },
  },
  nothing_left_to_underserved: {
    ...ours,
    queue: { ...defaultPromptQueueOptions, yieldsToUnderserved: false },
  },
  all_slots: {
    ...ours,
    queue: {
      ...defaultPromptQueueOptions,
      limit: { slotShare: 1, prefillShare: 1 },
    },
  },
  fixed_half: { ...ours, limitTokens: 7_000 },
  fixed_wide: { ...ours, limitTokens: 56_000 },
  each_host_alone: { ...ours, isLoadShared: false },
};

/** Runs the scenario with the queue's policy and with each baseline. */
export function measurePromptLoad(options: ScenarioOptions): Report {
  const result = playAll(options, ours);
  const others = mapValues(baselines, (policy) => playAll(options, policy));
  const getFigure = (name: keyof PromptResult) => ({
    name: `${name}_share`,
    value: result[name],
    baselines: mapValues(others, (each) => each[name]),
  });
  return {
    scenario: "prompt-load",
    ...options,
    figures: [
      {
        ...getFigure("onTime"),
        bound: { kind: "at-least", value: others.earlier!.onTime },
      },
      getFigure("calmOnTime"),
      getFigure("served"),
      {
        ...getFigure("longServed"),
        bound: { kind: "at-least", value: result.served / 2 },
      },
    ],
  };
}

function playAll({ seed, hosts }: ScenarioOptions, policy: PromptPolicy) {
  const seeds = Array.from({ length: RUNS }, (_, at) => seed + at);
  return getMeans(seeds.map((each) =>
    playPrompts({
      ...policy,
      seed: each,
      hosts,
      factor: FACTOR,
      floodShare: FLOOD_SHARE,
      engine: largeChunkEngine,
      pauseTargetMs: PAUSE_TARGET_MS,
    })
  ));
}
