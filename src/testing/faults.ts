/**
 * `npm run faults`: runs real processes under failures that a seed selects, and
 * checks the history. The last line of output is a JSON object; the exit code
 * is 1 on a violation.
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { defineCommand, runMain } from "citty";
import {
  checkHistory,
  countByOutcome,
  countByPromise,
  documentedLimits,
  formatTrace,
  getStatement,
} from "../proof/mod.ts";
import { createCaller } from "./caller.ts";
import { sendUntilAnswered } from "./fault_callers.ts";
import { faultInjections, type FaultName } from "./fault_injections.ts";
import {
  type FaultEnvironment,
  startFaultEnvironment,
} from "./fault_environment.ts";
import type { ExampleName } from "./fleet_processes.ts";
import { handleInterrupts } from "./processes.ts";
import { portShiftArg } from "./run_args.ts";
import { createRandom, createRequestSource, sendAtRate } from "./traffic.ts";

/** Time without failures after each round, in ms. */
const RECOVERY_MS = 3_000;

const command = defineCommand({
  meta: { name: "faults", description: "Checks the promises under failures" },
  args: {
    seed: { type: "string", default: "1", description: "Seed of the run" },
    rounds: { type: "string", default: "6", description: "Rounds of faults" },
    rate: { type: "string", default: "20", description: "Requests per second" },
    routers: { type: "string", default: "6", description: "Routers to start" },
    "port-shift": portShiftArg,
    only: {
      type: "string",
      default: "",
      description: "Failures to inject, comma-separated; all when empty",
    },
    trace: {
      type: "string",
      default: "",
      description: "File for the history, as a trace to replay",
    },
    deployment: {
      type: "enum",
      options: ["ikeja", "kvinta", "both"],
      default: "both",
      description: "Which example to run",
    },
  },
  async run({ args }) {
    handleInterrupts(() => process.exit(1));
    const examples: readonly ExampleName[] = args.deployment === "both"
      ? ["ikeja", "kvinta"]
      : [args.deployment as ExampleName];
    let hasPassed = true;
    for (const example of examples) {
      const holds = await runExample(example, {
        seed: Number(args.seed),
        rounds: Number(args.rounds),
        rate: Number(args.rate),
        routers: Number(args.routers),
        portShift: Number(args["port-shift"]),
        names: getNames(args.only),
        traceFile: args.trace,
      });
      hasPassed &&= holds;
    }
    process.exitCode = hasPassed ? 0 : 1;
  },
});

interface RunOptions {
  readonly seed: number;
  readonly rounds: number;
  readonly rate: number;
  readonly routers: number;
  readonly portShift: number;
  readonly names: readonly FaultName[];
  readonly traceFile: string;
}

function getNames(only: string): readonly FaultName[] {
  const all = Object.keys(faultInjections) as FaultName[];
  if (only === "") return all;
  const wanted = only.split(",");
  const unknown = wanted.find((name) => !all.includes(name as FaultName));
  if (unknown !== undefined) throw new Error(`Unknown failure "${unknown}"`);
  return wanted as FaultName[];
}

async function runExample(
  example: ExampleName,
  options: RunOptions,
): Promise<boolean> {
  const random = createRandom(options.seed);
  await using env = await startFaultEnvironment(example, {
    ...options,
    random,
  });
  const counts: Partial<Record<FaultName, number>> = {};
  let isOver = false;
  const traffic = runTraffic(env, options, () => isOver);
  await runFaults(env, options, counts);
  isOver = true;
  await traffic;
  return report(env, { example, counts, options });
}

/** Injects failures in an order shuffled by the seed, some of them in pairs. */
async function runFaults(
  env: FaultEnvironment,
  options: RunOptions,
  counts: Partial<Record<FaultName, number>>,
): Promise<void> {
  let order: FaultName[] = [];
  for (let round = 1; round <= options.rounds; round++) {
    const count = env.random() < 0.25 ? 2 : 1;
    const names: FaultName[] = [];
    for (let taken = 0; taken < count; taken++) {
      if (order.length === 0) order = shuffle(options.names, env.random);
      names.push(order.pop()!);
    }
    console.log(`faults: round ${round}: ${names.join(" and ")}`);
    for (const name of names) counts[name] = (counts[name] ?? 0) + 1;
    const results = await Promise.allSettled(
      names.map((name) => faultInjections[name](env)),
    );
    for (const result of results) {
      // One of two simultaneous failures may make injecting the other fail.
      if (result.status === "rejected") console.log(`faults: ${result.reason}`);
    }
    await sleep(RECOVERY_MS);
  }
}

function shuffle<T>(items: readonly T[], random: () => number): T[] {
  return items.map((item) => ({ item, key: random() }))
    .sort((a, b) => a.key - b.key)
    .map(({ item }) => item);
}

async function runTraffic(
  env: FaultEnvironment,
  options: RunOptions,
  isStopped: () => boolean,
): Promise<void> {
  // A separate generator, since the callers' timing must not change the order
  // of the failures.
  const random = createRandom(options.seed + 1_000_000);
  const caller = createCaller(
    env.fleet.routers.map((router) => router.publicAddress),
    random,
  );
  const nextRequest = createRequestSource(env.fleet.deployment, random);
  await sendAtRate(async () => {
    const req = nextRequest();
    const isCrashing = env.isCrashing && req.tokens > 0 && random() < 0.1;
    if (!isCrashing) return await sendUntilAnswered(env, caller, req);
    const prompt = `crash-the-upstream ${env.crashingWork}`;
    await sendUntilAnswered(env, caller, {
      ...req,
      tag: env.crashingWork,
      tokens: 10,
      prompt,
    });
  }, { perSecond: options.rate, seconds: 3_600, isStopped });
}

function report(
  env: FaultEnvironment,
  run: {
    example: ExampleName;
    counts: Partial<Record<FaultName, number>>;
    options: RunOptions;
  },
): boolean {
  const { example, counts, options } = run;
  const violations = checkHistory(env.history, documentedLimits);
  for (const { atMs, promise, what } of violations.slice(0, 20)) {
    console.log(`violation at ${atMs} ms: ${promise}: ${what}`);
  }
  if (options.traceFile !== "") {
    const about = `Failure run of ${example}, seed ${options.seed}`;
    const stated = getStatement(about, env.history);
    const file = options.traceFile.replace("{deployment}", example);
    writeFileSync(file, formatTrace({ stated, history: env.history }));
  }
  const holds = violations.length === 0;
  console.log(JSON.stringify({
    deployment: example,
    seed: options.seed,
    rounds: options.rounds,
    faults: counts,
    outcomes: countByOutcome(env.history),
    violations: countByPromise(violations),
    holds,
  }));
  return holds;
}

runMain(command);
