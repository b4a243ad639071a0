/**
 * Scenario `warm-up`: a data centre's upstreams return cold while all hosts send
 * at full load. Compares ways to keep the limit of a cold upstream over the
 * whole fleet.
 *
 * @module
 */

import type { WarmUpLimit } from "../warmup/mod.ts";
import type { ScenarioOptions } from "./main.ts";
import type { Figure, Report } from "./report.ts";
import type { Visibility, WarmUpPolicy } from "./warm_up_policies.ts";
import { simulateWarmUp, type WarmUpResult } from "./warm_up_simulation.ts";

const POLICIES = [
  "drawn-first",
  "drawn",
  "unlimited",
  "even",
  "owner",
] as const;

/** The limit of the measured runs. */
const LIMIT: WarmUpLimit = { durationMs: 3_000, requestsPerSecond: 9 };

/** Runs the scenario with each way. */
export function measureWarmUp({ seed, hosts }: ScenarioOptions): Report {
  const figures = (["whole", "halves"] as const).flatMap((visibility) => {
    const results = Object.fromEntries(
      POLICIES.map((policy) => [
        policy,
        simulateWarmUp({ seed, hosts, visibility, policy, limit: LIMIT }),
      ]),
    ) as Record<WarmUpPolicy, WarmUpResult>;
    return createFigures(visibility, results);
  });
  return { scenario: "warm-up", seed, hosts, figures };
}

function createFigures(
  visibility: Visibility,
  results: Readonly<Record<WarmUpPolicy, WarmUpResult>>,
): readonly Figure[] {
  const { "drawn-first": kept, ...others } = results;
  const toFigure = (name: string, key: keyof WarmUpResult): Figure => ({
    name: `${visibility}_${name}`,
    value: kept[key],
    baselines: Object.fromEntries(
      Object.entries(others).map(([policy, result]) => [policy, result[key]]),
    ),
  });
  return [
    {
      ...toFigure("worst_second_requests", "worstSecond"),
      bound: {
        kind: "at-most",
        value: LIMIT.requestsPerSecond * (visibility === "whole" ? 1 : 1.5),
      },
    },
    toFigure("used_share", "usedShare"),
    toFigure("refused_share", "refusedShare"),
    toFigure("full_use_ms", "fullUseMs"),
    toFigure("messages", "messages"),
  ];
}
