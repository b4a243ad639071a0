/**
 * `npm run measure -- SCENARIO [--seed N] [--hosts N]`: runs one scenario in
 * virtual time with the modules that make the router's decisions. Exits with
 * code 1 if a figure violates its bound, with code 2 if the scenario is unknown.
 *
 * @module
 */

import process from "node:process";
import { defineCommand, runMain } from "citty";
import { measureControlTraffic } from "./control_traffic.ts";
import { measureFairness } from "./fairness.ts";
import { measureFlood } from "./flood.ts";
import { measureConfigSpread } from "./config_spread.ts";
import { measurePromptLoad } from "./prompt_load.ts";
import { measureSaturation } from "./saturation.ts";
import { measureScale } from "./scale.ts";
import { measureSlowUpstream } from "./slow_upstream.ts";
import { measureTableSoak } from "./table_soak.ts";
import { measureUtilisation } from "./utilisation.ts";
import { measureWarmUp } from "./warm_up.ts";
import { meetsBounds, printReport, type Report } from "./report.ts";

/** Options that vary a scenario. */
export interface ScenarioOptions {
  readonly seed: number;
  readonly hosts: number;
}

/** Sets up a simulation, runs it and returns its figures. */
export type Scenario = (options: ScenarioOptions) => Report | Promise<Report>;

const scenarios: Readonly<Record<string, Scenario>> = {
  "control-traffic": measureControlTraffic,
  fairness: measureFairness,
  flood: measureFlood,
  utilisation: measureUtilisation,
  "config-spread": measureConfigSpread,
  "prompt-load": measurePromptLoad,
  saturation: measureSaturation,
  "slow-upstream": measureSlowUpstream,
  scale: measureScale,
  "table-soak": measureTableSoak,
  "warm-up": measureWarmUp,
};

const command = defineCommand({
  meta: {
    name: "measure",
    description: "Measures the router's decisions in virtual time",
  },
  args: {
    scenario: {
      type: "positional",
      required: true,
      description: `One of: ${Object.keys(scenarios).join(", ")}`,
    },
    seed: { type: "string", default: "1", description: "Seed of the run" },
    hosts: { type: "string", default: "9", description: "Number of hosts" },
  },
  async run({ args }) {
    const scenario = scenarios[args.scenario];
    if (scenario === undefined) {
      console.error(`Unknown scenario "${args.scenario}"`);
      process.exitCode = 2;
      return;
    }
    const options = { seed: Number(args.seed), hosts: Number(args.hosts) };
    const report = await scenario(options);
    printReport(report);
    process.exitCode = meetsBounds(report) ? 0 : 1;
  },
});

runMain(command);
