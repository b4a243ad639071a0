/**
 * `npm run demo`: runs the whole system as processes on loopback, sends mixed
 * traffic and prints a summary. Exits with 1 if a request was refused or lost,
 * or if a call that may run at most once ran more often.
 *
 * @module
 */

import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { defineCommand, runMain } from "citty";
import {
  type CallerRequest,
  type CallerResult,
  createCaller,
} from "./caller.ts";
import {
  type ExampleName,
  type FleetProcesses,
  startFleetProcesses,
} from "./fleet_processes.ts";
import { handleInterrupts } from "./processes.ts";
import { portShiftArg } from "./run_args.ts";
import { createRandom, createRequestSource, sendAtRate } from "./traffic.ts";

interface TeamSummary {
  requests: number;
  answered: number;
  refused: number;
  lost: number;
  tokens: number;
  readonly firstByteMs: number[];
}

const command = defineCommand({
  meta: { name: "demo", description: "Runs the whole system on loopback" },
  args: {
    seconds: { type: "string", default: "20", description: "Seconds to run" },
    rate: { type: "string", default: "30", description: "Requests per second" },
    seed: { type: "string", default: "1", description: "Seed of the traffic" },
    routers: { type: "string", default: "6", description: "Routers to start" },
    "port-shift": portShiftArg,
    deployment: {
      type: "enum",
      options: ["ikeja", "kvinta"],
      default: "ikeja",
      description: "Which example to run",
    },
  },
  async run({ args }) {
    let isStopped = false;
    handleInterrupts(() => isStopped = true);
    await using fleet = await startFleetProcesses(
      args.deployment as ExampleName,
      {
        routers: Number(args.routers),
        portShift: Number(args["port-shift"]),
      },
    );
    await fleet.apply();
    await fleet.waitUntilReady(15_000);
    const addresses = fleet.routers.map((router) => router.publicAddress);
    console.log(
      `demo: ${args.deployment}, ${addresses.length} routers; query ` +
        `http://${addresses[0]}/where`,
    );
    const hasPassed = await runTraffic(fleet, {
      perSecond: Number(args.rate),
      seconds: Number(args.seconds),
      seed: Number(args.seed),
      isStopped: () => isStopped,
    });
    process.exitCode = hasPassed ? 0 : 1;
  },
});

async function runTraffic(
  fleet: FleetProcesses,
  options: {
    perSecond: number;
    seconds: number;
    seed: number;
    isStopped: () => boolean;
  },
): Promise<boolean> {
  const random = createRandom(options.seed);
  const caller = createCaller(
    fleet.routers.map((router) => router.publicAddress),
    random,
  );
  const nextRequest = createRequestSource(fleet.deployment, random);
  const summaries = new Map<string, TeamSummary>();
  const failures: string[] = [];
  let done = 0;

  const progress = setInterval(
    () => console.log(`demo: ${done} requests ended`),
    2_000,
  );
  await sendAtRate(async () => {
    const req = nextRequest();
    const end = await caller.send(req);
    done++;
    recordResult(summaries, req, end);
    if (end.fault !== "") failures.push(`${req.tag}: ${end.fault}`);
    else if (end.outcome !== "answered") {
      failures.push(`${req.tag}: ${end.detail}`);
    }
  }, options);
  clearInterval(progress);
  await sleep(200);
  await printControlTraffic(fleet, done);
  return printSummary(summaries, failures, await countDuplicateRuns(fleet));
}

/** Prints the bytes of control frames by kind, from the routers' metrics. */
async function printControlTraffic(
  fleet: FleetProcesses,
  requests: number,
): Promise<void> {
  const byKind = new Map<string, number>();
  for (const router of fleet.routers) {
    const res = await fetch(`http://${router.publicAddress}/metrics`);
    const samples = (await res.text()).matchAll(
      /^azurestile_control_bytes_total\{kind="([^"]+)"\} (\d+)/gm,
    );
    for (const [, kind, bytes] of samples) {
      byKind.set(kind!, (byKind.get(kind!) ?? 0) + Number(bytes));
    }
  }
  const total = [...byKind.values()].reduce((sum, each) => sum + each, 0);
  const kinds = [...byKind].map(([kind, bytes]) => `${kind} ${bytes}`);
  console.log(
    `demo: ${Math.round(total / requests)} control bytes per request ` +
      `(${kinds.join(", ")})`,
  );
}

function recordResult(
  summaries: Map<string, TeamSummary>,
  req: CallerRequest,
  end: CallerResult,
): void {
  const summary = summaries.get(req.team) ?? {
    requests: 0,
    answered: 0,
    refused: 0,
    lost: 0,
    tokens: 0,
    firstByteMs: [],
  };
  summaries.set(req.team, summary);
  summary.requests++;
  summary.firstByteMs.push(end.firstByteMs);
  if (end.outcome === "answered" && end.fault === "") {
    summary.answered++;
    summary.tokens += req.tokens;
  } else if (end.outcome === "not-run") {
    summary.refused++;
  } else {
    summary.lost++;
  }
}

/** Counts at-most-once calls that ran more often, by the upstreams' logs. */
async function countDuplicateRuns(fleet: FleetProcesses): Promise<number> {
  const { services, upstreams } = fleet.deployment;
  const atMostOnce = new Set(
    services.flatMap((service) =>
      service.operations.filter((each) => !each.idempotent)
        .map((each) => each.name)
    ),
  );
  const runs = new Map<string, number>();
  for (const upstream of upstreams) {
    const res = await fetch(`http://${upstream.address}/log`);
    const log = await res.json() as { key: string; operation: string }[];
    for (const { key, operation } of log) {
      if (atMostOnce.has(operation)) runs.set(key, (runs.get(key) ?? 0) + 1);
    }
  }
  return [...runs.values()].filter((count) => count > 1).length;
}

function printSummary(
  summaries: ReadonlyMap<string, TeamSummary>,
  failures: readonly string[],
  duplicates: number,
): boolean {
  const rows = [...summaries].map(([team, summary]) => ({
    team,
    requests: summary.requests,
    answered: summary.answered,
    refused: summary.refused,
    lost: summary.lost,
    tokens: summary.tokens,
    "first byte p95, ms": Math.round(getPercentile(summary.firstByteMs, 0.95)),
  }));
  console.table(rows);
  for (const each of failures.slice(0, 10)) console.log(`failure: ${each}`);
  const sum = (name: "requests" | "answered" | "refused" | "lost") =>
    rows.reduce((total, row) => total + row[name], 0);
  const [requests, answered] = [sum("requests"), sum("answered")];
  const [refused, lost] = [sum("refused"), sum("lost")];
  console.log(
    `demo: ${requests} requests, ${answered} answered, ${refused} refused, ` +
      `${lost} lost, ${duplicates} run more than once`,
  );
  return refused === 0 && lost === 0 && duplicates === 0 &&
    requests === answered;
}

function getPercentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[
    Math.min(sorted.length - 1, Math.floor(sorted.length * share))
  ] ??
    0;
}

runMain(command);
