/**
 * Scenario `prompt-load`: the prompts of a heavy day, half of them from one
 * team, on six engines. Compares the policy of the queue with variants of it,
 * with a policy that serves the oldest prompt first, and with hosts that know
 * only their own load.
 *
 * @module
 */

import {
  defaultPromptQueueOptions,
  type PromptQueueOptions,
  type WaitingPrompt,
} from "../queue/mod.ts";
import { getReadingMs, wideEngine } from "../testing/emulated_engine.ts";
import type { ScenarioOptions } from "./main.ts";
import { getMeans, type PromptResult } from "./prompt_result.ts";
import { simulatePrompts } from "./prompt_simulation.ts";
import { mapValues, type Report } from "./report.ts";

/** Load, relative to a heavy day. */
const LOAD_FACTOR = 1;
/** Share of the prompts that one team sends. */
const OVERLOADING_TEAM_SHARE = 0.5;

/**
 * Number of runs with consecutive seeds: figures of single runs differ by 0.03.
 */
const RUNS = 4;

/** Target for the pauses between events with the simulated engines, in ms. */
const PAUSE_TARGET_MS = 400;

/** A policy to compare. */
export interface PromptPolicy {
  readonly queue: PromptQueueOptions;
  /** Whether hosts report their load to each other. */
  readonly isLoadShared: boolean;
  /** Fixed prefill limit of an upstream; learned if absent. */
  readonly limitTokens?: number;
  /** Weight of a prompt in the prefill limit; the router's count if absent. */
  readonly countPrefillTokens?: (
    tokens: number,
    cachedTokens: number,
  ) => number;
}

const routerPolicy: PromptPolicy = {
  queue: defaultPromptQueueOptions,
  isLoadShared: true,
};

function compareOldestFirst(a: WaitingPrompt, b: WaitingPrompt): number {
  return a.arrivedMs - b.arrivedMs;
}

/** Counts all tokens of a prompt, however long it is. */
const withoutCountLimit: PromptQueueOptions = {
  ...defaultPromptQueueOptions,
  maxCountedShare: Infinity,
};

/**
 * Counts prompts in ms of prefill and limits them to 150 ms, a value that fits
 * the engines of one deployment.
 */
const countedInPrefillMs: PromptPolicy = {
  queue: { ...withoutCountLimit, negligibleTokens: 15 },
  isLoadShared: true,
  limitTokens: 150,
  countPrefillTokens: (tokens, cachedTokens) =>
    Math.ceil(getReadingMs(wideEngine, tokens, cachedTokens)),
};

/**
 * Serves the oldest prompt first, with twice the fixed limit, and refuses no
 * prompt early.
 */
export const earlierPolicy: PromptPolicy = {
  ...countedInPrefillMs,
  queue: {
    ...countedInPrefillMs.queue,
    spilloverShare: 0.25,
    refusesEarly: false,
    yieldsToUnderserved: false,
    compare: compareOldestFirst,
  },
  limitTokens: 300,
};

/** Uses the fixed limit for the engines of one deployment. */
export const fixedLimitPolicy: PromptPolicy = countedInPrefillMs;

/** Policies to compare with, by their names in reports. */
const baselines: Readonly<Record<string, PromptPolicy>> = {
  earlier: earlierPolicy,
  fixed: fixedLimitPolicy,
  counted_whole: { ...routerPolicy, queue: withoutCountLimit },
  oldest_first: {
    ...routerPolicy,
    queue: { ...defaultPromptQueueOptions, compare: compareOldestFirst },
  },
  floods_yield_nothing: {
    ...routerPolicy,
    queue: {
      ...defaultPromptQueueOptions,
      overShareLimit: defaultPromptQueueOptions.limit,
    },
  },
  sparse_yield_nothing: {
    ...routerPolicy,
    queue: {
      ...defaultPromptQueueOptions,
      inefficientLimit: defaultPromptQueueOptions.limit,
    },
  },
  never_elsewhere: {
    ...routerPolicy,
    queue: { ...defaultPromptQueueOptions, spilloverShare: Infinity },
  },
  never_refused_early: {
    ...routerPolicy,
    queue: { ...defaultPromptQueueOptions, refusesEarly: false },
  },
  nothing_left_to_underserved: {
    ...routerPolicy,
    queue: { ...defaultPromptQueueOptions, yieldsToUnderserved: false },
  },
  all_slots: {
    ...routerPolicy,
    queue: {
      ...defaultPromptQueueOptions,
      limit: { slotShare: 1, prefillShare: 1 },
    },
  },
  fixed_half: { ...routerPolicy, limitTokens: 7_000 },
  fixed_wide: { ...routerPolicy, limitTokens: 56_000 },
  each_host_alone: { ...routerPolicy, isLoadShared: false },
};

/** Runs the scenario with the policy of the queue and with each baseline. */
export function measurePromptLoad(options: ScenarioOptions): Report {
  const routerResult = simulateAll(options, routerPolicy);
  const baselineResults = mapValues(
    baselines,
    (policy) => simulateAll(options, policy),
  );
  const getFigure = (name: keyof PromptResult) => ({
    name: `${name}_share`,
    value: routerResult[name],
    baselines: mapValues(baselineResults, (each) => each[name]),
  });
  return {
    scenario: "prompt-load",
    ...options,
    figures: [
      {
        ...getFigure("onTime"),
        bound: { kind: "at-least", value: baselineResults.earlier!.onTime },
      },
      getFigure("calmOnTime"),
      getFigure("served"),
      {
        ...getFigure("longServed"),
        bound: { kind: "at-least", value: routerResult.served / 2 },
      },
    ],
  };
}

function simulateAll({ seed, hosts }: ScenarioOptions, policy: PromptPolicy) {
  const seeds = Array.from({ length: RUNS }, (_, at) => seed + at);
  return getMeans(seeds.map((each) =>
    simulatePrompts({
      ...policy,
      seed: each,
      hosts,
      factor: LOAD_FACTOR,
      overloadingTeamShare: OVERLOADING_TEAM_SHARE,
      engine: wideEngine,
      pauseTargetMs: PAUSE_TARGET_MS,
    })
  ));
}
