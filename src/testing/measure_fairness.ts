/**
 * Measures the fairness gap, the use of the engines and small teams' waits on
 * real processes: every team keeps more requests open than the engines have
 * slots for, half of the teams through a single host each. The last line is one
 * JSON object; exit code 1 when the gap is over the derived bound.
 *
 * @module
 */

import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { defineCommand, runMain } from "citty";
import { createGapMeter, getGapBound } from "../measure/gap.ts";
import { CROSS_REGION_PENALTY_REQUESTS } from "../fleet/owned_upstreams.ts";
import type { Service, Team } from "../types.ts";
import { type Caller, createCaller } from "./caller.ts";
import {
  type ExampleName,
  type FleetProcesses,
  startFleetProcesses,
} from "./fleet_processes.ts";
import { handleInterrupts } from "./processes.ts";
import { portShiftArg } from "./run_args.ts";
import { createRandom } from "./traffic.ts";

/** Open requests of a team for each unit of its weight. */
const OPEN_PER_WEIGHT = 12;

const SHORTEST = 20;
const LONGEST = 200;
const WARM_UP_MS = 10_000;
const SAMPLE_MS = 500;
const LAG_SECONDS = 3;

interface Run {
  readonly service: Service;
  readonly caller: Caller;
  readonly random: () => number;
  /** Tokens of ended answers by team. */
  readonly served: Map<string, number>;
  readonly ends: Map<string, number>;
  isOver: boolean;
}

const command = defineCommand({
  meta: { name: "measure-fairness", description: "Measures shares of teams" },
  args: {
    seconds: { type: "string", default: "40", description: "After warm-up" },
    seed: { type: "string", default: "1", description: "Seed of the run" },
    "port-shift": portShiftArg,
    deployment: {
      type: "enum",
      options: ["ikeja", "kvinta"],
      default: "ikeja",
      description: "Which example to run",
    },
  },
  async run({ args }) {
    handleInterrupts(() => process.exit(1));
    await using fleet = await startFleetProcesses(
      args.deployment as ExampleName,
      { routers: 9, portShift: Number(args["port-shift"]) },
    );
    await fleet.apply();
    await fleet.waitUntilReady(15_000);
    const run = createRun(fleet, createRandom(Number(args.seed)));
    const open = fleet.deployment.teams.flatMap((team) =>
      Array.from(
        { length: team.weight * OPEN_PER_WEIGHT },
        () => keepOpen(run, team),
      )
    );
    await sleep(WARM_UP_MS);
    const figures = await measure(fleet, run, Number(args.seconds));
    run.isOver = true;
    await Promise.all(open);
    const holds = figures.gapTokens <= figures.boundTokens;
    console.log(
      JSON.stringify({ deployment: args.deployment, ...figures, holds }),
    );
    process.exitCode = holds ? 0 : 1;
  },
});

function createRun(fleet: FleetProcesses, random: () => number): Run {
  const { teams, services } = fleet.deployment;
  const single = new Map(
    teams.filter((_, index) => index % 2 === 0)
      .map((team, index) => [team.id, index]),
  );
  const caller = createCaller(
    fleet.routers.map((place) => place.publicAddress),
    random,
    {
      choose(team, addresses) {
        const index = single.get(team);
        if (index === undefined) return addresses;
        const sorted = [...addresses].sort();
        return [sorted[index % sorted.length]!];
      },
    },
  );
  const service = services.find((each) => each.kind === "engine")!;
  return {
    service,
    caller,
    random,
    served: new Map(),
    ends: new Map(),
    isOver: false,
  };
}

/** Keeps one request of the team open until the run is over. */
async function keepOpen(run: Run, team: Team): Promise<void> {
  const { caller, random, served, ends } = run;
  for (let count = 0; !run.isOver; count++) {
    const tokens = Math.floor(SHORTEST + random() * (LONGEST - SHORTEST));
    const end = await caller.send({
      team: team.id,
      service: run.service.id,
      operation: "generate",
      tag: `${team.id}-${count}`,
      tokens,
      idempotencyKey: "",
      timeoutMs: 60_000,
    });
    ends.set(end.outcome, (ends.get(end.outcome) ?? 0) + 1);
    if (end.outcome === "answered") {
      served.set(team.id, (served.get(team.id) ?? 0) + tokens);
    } else await sleep(Math.max(100, end.retryAfterMs));
  }
}

async function measure(fleet: FleetProcesses, run: Run, seconds: number) {
  const { teams, upstreams } = fleet.deployment;
  const engines = upstreams.filter((each) => each.service === run.service.id);
  const slots = engines.reduce((sum, each) => sum + each.maxSlots, 0);
  const meter = createGapMeter(teams);
  const before = new Map(run.served);
  const startMs = performance.now();
  let used = 0;
  let samples = 0;
  while (performance.now() - startMs < seconds * 1_000) {
    meter.sample(run.served);
    used += await countRunning(engines.map((each) => each.address));
    samples++;
    await sleep(SAMPLE_MS);
  }
  const ranSeconds = (performance.now() - startMs) / 1_000;
  const tokens = [...run.served].reduce(
    (sum, [team, all]) => sum + all - (before.get(team) ?? 0),
    0,
  );
  const bound = getGapBound({
    weights: teams.map((team) => team.weight),
    largestCost: LONGEST,
    slots,
    servicePerSecond: tokens / ranSeconds,
    lagSeconds: LAG_SECONDS,
    crossRegionPenaltyRequests: CROSS_REGION_PENALTY_REQUESTS,
  });
  return {
    seconds: Math.round(ranSeconds),
    gapTokens: Math.round(meter.getGap()),
    boundTokens: Math.round(bound),
    tokensPerSecond: Math.round(tokens / ranSeconds),
    slotsInUseShare: Number((used / samples / slots).toFixed(3)),
    ends: Object.fromEntries(run.ends),
  };
}

/** Streams that run at the engines, as they say a second late. */
async function countRunning(addresses: readonly string[]): Promise<number> {
  const loads = await Promise.all(addresses.map(async (address) => {
    const res = await fetch(`http://${address}/load`);
    return await res.json() as { running: number };
  }));
  return loads.reduce((sum, load) => sum + load.running, 0);
}

runMain(command);
