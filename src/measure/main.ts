/**
 * `npm run measure -- SCENARIO [--seed N] [--hosts N]`: runs one scenario over
 * the real decision modules in virtual time; exits with 1 when a bound breaks.
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
import { meetsBounds, printReport, type Report } from "./report.ts";

/** What a scenario may be varied by. */
export interface ScenarioOptions {
  readonly seed: number;
  readonly hosts: number;
}

/** A scenario: sets up its world, runs it and gives the figures. */
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
};

const command = defineCommand({
  meta: { name: "measure", description: "Measures the decision modules" },
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
      console.error(`The scenario "${args.scenario}" does not exist`);
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
