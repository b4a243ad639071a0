/**
 * `node dist/testing/measure_config.js`: measures how long an accepted
 * configuration takes until it is in force at each router process. The platform
 * stays up in odd rounds and goes down right after the acceptance in even ones.
 *
 * @module
 */

import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { defineCommand, runMain } from "citty";
import { build } from "hdr-histogram-js";
import { createOperatorClient } from "../commands/operator_client.ts";
import { type FileSet, readFileSet } from "../config/mod.ts";
import {
  type FleetProcesses,
  OPERATOR_KEY,
  startFleetProcesses,
} from "./fleet_processes.ts";
import { handleInterrupts } from "./processes.ts";
import { portShiftArg } from "./run_args.ts";
import { createRandom } from "./traffic.ts";

const POLL_PERIOD_MS = 20;
/** Time-out for a version to be in force at a router, in ms. */
const PROPAGATION_TIMEOUT_MS = 20_000;
/** Longest permitted time until a version is in force, in ms. */
const TARGET_MS = 7_000;

const command = defineCommand({
  meta: { name: "measure-config", description: "Measures propagation" },
  args: {
    rounds: { type: "string", default: "40", description: "Changes to apply" },
    routers: { type: "string", default: "9", description: "Routers to start" },
    seed: { type: "string", default: "1", description: "Seed of the run" },
    "port-shift": portShiftArg,
  },
  async run({ args }) {
    handleInterrupts(() => process.exit(1));
    const random = createRandom(Number(args.seed));
    await using fleet = await startFleetProcesses("ikeja", {
      routers: Number(args.routers),
      portShift: Number(args["port-shift"]),
    });
    await fleet.apply();
    await fleet.waitUntilReady(15_000);
    const normal = build();
    const outage = build();
    const rounds = Number(args.rounds);
    for (let round = 1; round <= rounds; round++) {
      const isOutage = round % 2 === 0;
      const times = await applyOnce(fleet, {
        round,
        isOutage,
        random,
      });
      for (const ms of times) (isOutage ? outage : normal).recordValue(ms);
      await sleep(random() * 2_000);
    }
    const figures = {
      up: getFigures(normal),
      downAfter: getFigures(outage),
    };
    const holds = normal.maxValue <= TARGET_MS &&
      outage.maxValue <= TARGET_MS;
    console.log(
      JSON.stringify({ routers: fleet.routers.length, rounds, figures, holds }),
    );
    process.exitCode = holds ? 0 : 1;
  },
});

function getFigures(histogram: ReturnType<typeof build>) {
  return {
    samples: histogram.totalCount,
    p50Ms: histogram.getValueAtPercentile(50),
    p99Ms: histogram.getValueAtPercentile(99),
    maxMs: histogram.maxValue,
  };
}

/** Times from the acceptance until each router has the version, in ms. */
async function applyOnce(
  fleet: FleetProcesses,
  input: { round: number; isOutage: boolean; random: () => number },
): Promise<readonly number[]> {
  const { routers } = fleet;
  const acceptor = routers[Math.floor(input.random() * routers.length)]!;
  const client = createOperatorClient(acceptor.publicAddress, OPERATOR_KEY);
  const { configVersion } = await client.get<{ configVersion: number }>(
    "/ops/status",
  );
  const { version } = await client.post<{ version: number }>("/ops/config", {
    files: createFiles(fleet, input.round),
    baseVersion: configVersion,
  });
  const startMs = performance.now();
  if (input.isOutage) await controlPlatform(fleet, true);
  const times = await Promise.all(
    routers.map((router) => waitForVersion(router.publicAddress, version)),
  );
  if (input.isOutage) await controlPlatform(fleet, false);
  return times.map((ms) => Math.max(0, Math.round(ms - startMs)));
}

function createFiles(fleet: FleetProcesses, round: number): FileSet {
  const files = readFileSet(join(fleet.folder, "deployment"));
  const weight = `weight = ${1 + round % 9}`;
  const teams = files["teams.toml"]!.replace(/weight = \d+/, weight);
  return { ...files, "teams.toml": `# Round ${round}\n${teams}` };
}

async function waitForVersion(
  address: string,
  version: number,
): Promise<number> {
  const client = createOperatorClient(address, OPERATOR_KEY);
  const endMs = performance.now() + PROPAGATION_TIMEOUT_MS;
  while (performance.now() < endMs) {
    const status = await client.get<{ configVersion: number }>("/ops/status");
    if (status.configVersion >= version) return performance.now();
    await sleep(POLL_PERIOD_MS);
  }
  throw new Error(`Version ${version} is not in force at ${address}`);
}

async function controlPlatform(
  fleet: FleetProcesses,
  down: boolean,
): Promise<void> {
  await fetch(`http://${fleet.platformAddress}/control`, {
    method: "POST",
    body: JSON.stringify({ down }),
  });
}

runMain(command);
