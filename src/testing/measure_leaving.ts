/**
 * `node dist/testing/measure_leaving.js`: measures how long a leaving upstream
 * still gets new work, in real processes under traffic. The upstream leaves by
 * its own report in even rounds, and by the platform's list of machines, which
 * lags by 2 s, in odd rounds.
 *
 * @module
 */

import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { defineCommand, runMain } from "citty";
import type { Upstream } from "../types.ts";
import { createCaller } from "./caller.ts";
import { type FleetProcesses, startFleetProcesses } from "./fleet_processes.ts";
import { handleInterrupts } from "./processes.ts";
import { portShiftArg } from "./run_args.ts";
import { createRandom, createRequestSource, sendAtRate } from "./traffic.ts";

const POLL_PERIOD_MS = 20;
/** Time in which late new work is counted after the leave, in ms. */
const OBSERVATION_MS = 7_000;
/** Time in which an upstream must get work again after its return, in ms. */
const RETURN_MS = 6_000;
/** Latest permitted new work after the leave, in ms. */
const BOUND_MS = 5_000;

/** What announces the leave: the upstream's own report or the machine list. */
type LeaveSource = "word" | "list";

const command = defineCommand({
  meta: { name: "measure-leaving", description: "Measures work sent too late" },
  args: {
    rounds: { type: "string", default: "10", description: "Leaves to measure" },
    seed: { type: "string", default: "1", description: "Seed of the run" },
    rate: { type: "string", default: "60", description: "Requests per second" },
    "port-shift": portShiftArg,
  },
  async run({ args }) {
    handleInterrupts(() => process.exit(1));
    const random = createRandom(Number(args.seed));
    await using fleet = await startFleetProcesses("ikeja", {
      routers: 9,
      portShift: Number(args["port-shift"]),
    });
    await fleet.apply();
    await fleet.waitUntilReady(15_000);
    let isDone = false;
    const traffic = sendTraffic(fleet, {
      perSecond: Number(args.rate),
      isStopped: () => isDone,
      random,
    });
    const lastNewWorkMs: Record<LeaveSource, number[]> = { word: [], list: [] };
    for (let round = 0; round < Number(args.rounds); round++) {
      const source = round % 2 === 0 ? "word" : "list";
      lastNewWorkMs[source].push(await leaveOnce(fleet, source, round));
    }
    isDone = true;
    await traffic;
    const holds = [...lastNewWorkMs.word, ...lastNewWorkMs.list].every((ms) =>
      ms <= BOUND_MS
    );
    console.log(JSON.stringify({ lastNewWorkMs, holds }));
    process.exitCode = holds ? 0 : 1;
  },
});

async function sendTraffic(
  fleet: FleetProcesses,
  options: {
    perSecond: number;
    random: () => number;
    isStopped: () => boolean;
  },
): Promise<void> {
  const addresses = fleet.routers.map((router) => router.publicAddress);
  const caller = createCaller(addresses, options.random);
  const next = createRequestSource(fleet.deployment, options.random);
  const seconds = 3_600;
  await sendAtRate(async () => void await caller.send(next()), {
    ...options,
    seconds,
  });
}

/** Time from the start of leaving until the last new work, in ms. */
async function leaveOnce(
  fleet: FleetProcesses,
  source: LeaveSource,
  round: number,
): Promise<number> {
  const engines = fleet.deployment.upstreams.filter((each) =>
    each.service === fleet.deployment.services[0]!.id
  );
  const upstream = engines[round % engines.length]!;
  await setLeaving(fleet, upstream, { source, leaving: true });
  const startMs = performance.now();
  let runs = await countRuns(upstream);
  let lastMs = 0;
  while (performance.now() - startMs < OBSERVATION_MS) {
    await sleep(POLL_PERIOD_MS);
    const now = await countRuns(upstream);
    if (now > runs) lastMs = Math.round(performance.now() - startMs);
    runs = now;
  }
  await setLeaving(fleet, upstream, { source, leaving: false });
  await sleep(RETURN_MS);
  const after = await countRuns(upstream);
  if (after === runs) throw new Error(`"${upstream.id}" got no work again`);
  return lastMs;
}

async function setLeaving(
  fleet: FleetProcesses,
  upstream: Upstream,
  input: { source: LeaveSource; leaving: boolean },
): Promise<void> {
  const { source, leaving } = input;
  if (source === "word") {
    await post(upstream.address, "/control", { leaving });
    return;
  }
  const { id, dataCentre, address } = upstream;
  const state = leaving ? "leaving" : "live";
  const entry = { id, role: "upstream", dataCentre, address, state };
  const body = { entries: [entry], atOnce: false };
  await post(fleet.platformAddress, "/control/machines", body);
}

async function post(
  address: string,
  path: string,
  body: unknown,
): Promise<void> {
  await fetch(`http://${address}${path}`, {
    method: "POST",
    body: JSON.stringify(body),
  });
}

async function countRuns(upstream: Upstream): Promise<number> {
  const res = await fetch(`http://${upstream.address}/log`);
  const log = await res.json() as { operation: string }[];
  return log.filter((each) => each.operation !== "order").length;
}

runMain(command);
