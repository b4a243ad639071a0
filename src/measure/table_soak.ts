/**
 * Scenario `table-soak`: runs fifty seeds of overlapping series of faults over
 * hosts that read the platform's tables and distribute them to other hosts.
 * Prints the first violation of each seed that has one.
 *
 * @module
 */

import { BOUND_MS } from "../testing/knowledge_checks.ts";
import { playSoak, type SoakResult } from "../testing/knowledge_soak.ts";
import type { ScenarioOptions } from "./main.ts";
import type { Report } from "./report.ts";

const RUNS = 50;

/** Runs fifty consecutive seeds, starting with the one in the options. */
export async function measureTableSoak(
  { seed, hosts }: ScenarioOptions,
): Promise<Report> {
  const results: SoakResult[] = [];
  for (let run = 0; run < RUNS; run++) {
    const result = await playSoak({ seed: seed + run, hosts });
    const [first] = result.broken;
    if (first !== undefined) console.log(`Seed ${result.seed}, ${first}`);
    results.push(result);
  }
  const sum = (get: (each: SoakResult) => number) =>
    results.reduce((total, each) => total + get(each), 0);
  return {
    scenario: "table-soak",
    seed,
    hosts,
    figures: [
      {
        name: "broken_seeds",
        value: sum((each) => Math.min(1, each.broken.length)),
        baselines: {},
        bound: { kind: "at-most", value: 0 },
      },
      {
        name: "worst_delay_ms",
        value: Math.max(...results.map((each) => each.worstMs)),
        baselines: {},
        bound: { kind: "at-most", value: BOUND_MS },
      },
      {
        name: "calm_platform_calls",
        value: sum((each) => each.calmCalls),
        baselines: {},
        bound: { kind: "at-most", value: sum((each) => each.neededCalls) },
      },
    ],
  };
}
