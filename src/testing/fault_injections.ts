/**
 * The failures that a run can inject. Each function starts a failure, waits and
 * ends it, and records the observations that the check of the history needs.
 *
 * @module
 */

import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { type FileSet, readFileSet } from "../config/mod.ts";
import { join } from "node:path";
import type { FaultEnvironment } from "./fault_environment.ts";
import { waitFor } from "./fleet_processes.ts";

/** Injects each failure, by name. */
export const faultInjections = {
  "kill-router": killRouter,
  "pause-router": pauseRouter,
  "cut-router": partitionRouter,
  "cut-region": partitionRegion,
  "silence-upstream": stallUpstream,
  "silence-peers": stallPeers,
  "restart-upstream": restartUpstream,
  "leave-upstream": leaveUpstream,
  "platform-down": platformDown,
  "platform-slow": platformSlow,
  "lost-replies": loseReplies,
  "drain-router": drainRouter,
  "race-operators": raceOperators,
  "down-after-apply": downAfterApply,
  "change-models": changeModels,
  "crashing-request": crashUpstreams,
} as const satisfies Readonly<
  Record<string, (env: FaultEnvironment) => Promise<void>>
>;

/** The name of a failure. */
export type FaultName = keyof typeof faultInjections;

/** Time-out for a control message to a process that may be starting, in ms. */
const CONTROL_TIMEOUT_MS = 5_000;

function drawBetween(
  env: FaultEnvironment,
  lowMs: number,
  highMs: number,
): number {
  return lowMs + env.random() * (highMs - lowMs);
}

async function killRouter(env: FaultEnvironment): Promise<void> {
  const host = env.pickRouter();
  const started = env.routers.get(host)!;
  env.routers.delete(host);
  env.observe({ kind: "host-killed", host });
  await env.fleet.group.end(started, "SIGKILL");
  await sleep(drawBetween(env, 500, 5_000));
  await env.restartRouter(host);
}

async function pauseRouter(env: FaultEnvironment): Promise<void> {
  const host = env.pickRouter();
  const { child } = env.routers.get(host)!;
  env.observe({ kind: "host-reachable", host, reachable: false });
  child.kill("SIGSTOP");
  await sleep(drawBetween(env, 500, 12_000));
  child.kill("SIGCONT");
  env.observe({ kind: "host-reachable", host, reachable: true });
}

/** Drops all traffic between the selected routers and the others, both ways. */
async function partition(
  env: FaultEnvironment,
  isInside: (host: string) => boolean,
): Promise<void> {
  const isolated = [...env.routers.keys()].filter(isInside);
  for (const host of isolated) {
    env.observe({ kind: "host-reachable", host, reachable: false });
  }
  for (const { id } of env.fleet.routers) {
    const relay = env.fleet.relays.get(id)!;
    relay.setBlocked((source) =>
      source !== "" && isInside(source) !== isInside(id)
    );
  }
  await sleep(drawBetween(env, 2_000, 10_000));
  for (const { id } of env.fleet.routers) {
    env.fleet.relays.get(id)!.setBlocked(() => false);
  }
  for (const host of isolated) {
    if (!env.routers.has(host)) continue;
    env.observe({ kind: "host-reachable", host, reachable: true });
  }
}

async function partitionRouter(env: FaultEnvironment): Promise<void> {
  const router = env.pickRouter();
  await partition(env, (host) => host === router);
}

async function partitionRegion(env: FaultEnvironment): Promise<void> {
  const { dataCentres } = env.fleet.deployment;
  const last = dataCentres.at(-1)!.region;
  const regions = new Map(dataCentres.map((each) => [each.id, each.region]));
  env.observe({ kind: "regions-cut", cut: true });
  await partition(
    env,
    (host) => regions.get(env.getRouter(host).dataCentre) === last,
  );
  env.observe({ kind: "regions-cut", cut: false });
}

async function stallUpstream(env: FaultEnvironment): Promise<void> {
  env.fleet.relays.get(env.pickUpstream())!.stallOpenConnections();
  await sleep(drawBetween(env, 1_000, 4_000));
}

async function stallPeers(env: FaultEnvironment): Promise<void> {
  env.fleet.relays.get(env.pickRouter())!.stallOpenConnections();
  await sleep(drawBetween(env, 1_000, 4_000));
}

async function restartUpstream(env: FaultEnvironment): Promise<void> {
  const upstream = env.pickUpstream();
  const started = env.upstreams.get(upstream)!;
  await env.fleet.group.end(started, "SIGKILL");
  await sleep(drawBetween(env, 200, 2_000));
  env.restartUpstream(upstream);
}

async function leaveUpstream(env: FaultEnvironment): Promise<void> {
  const upstream = env.pickUpstream();
  const address = env.fleet.getDirectAddress(upstream);
  const setLeaving = (leaving: boolean) =>
    waitFor(async () => {
      const res = await fetch(`http://${address}/control`, {
        method: "POST",
        body: JSON.stringify({ leaving }),
      });
      return res.ok;
    }, CONTROL_TIMEOUT_MS);
  await setLeaving(true);
  env.observe({ kind: "upstream-leaving", upstream });
  await sleep(drawBetween(env, 8_000, 10_000));
  env.observe({ kind: "upstream-back", upstream });
  await setLeaving(false);
}

async function platformDown(env: FaultEnvironment): Promise<void> {
  await env.controlPlatform({ down: true });
  await sleep(drawBetween(env, 2_000, 10_000));
  await env.controlPlatform({ down: false });
}

async function platformSlow(env: FaultEnvironment): Promise<void> {
  await env.controlPlatform({ delayMs: 1_500 });
  await sleep(drawBetween(env, 2_000, 6_000));
  await env.controlPlatform({ delayMs: 0 });
}

async function loseReplies(env: FaultEnvironment): Promise<void> {
  await env.controlPlatform({ lostReplies: 5 });
  await sleep(drawBetween(env, 1_000, 4_000));
  await env.controlPlatform({ lostReplies: 0 });
}

async function drainRouter(env: FaultEnvironment): Promise<void> {
  const host = env.pickRouter();
  const { child } = env.routers.get(host)!;
  env.routers.delete(host);
  env.observe({ kind: "host-asked-to-drain", host });
  const exited = once(child, "exit");
  child.kill("SIGTERM");
  await exited;
  env.observe({ kind: "host-exited", host });
  await sleep(500);
  await env.restartRouter(host);
}

/** Posts the example's files with one change, based on the version given. */
async function postConfig(
  env: FaultEnvironment,
  change: {
    readonly host: string;
    readonly baseVersion: number;
    readonly edit: (files: FileSet) => FileSet;
  },
): Promise<void> {
  const { host, baseVersion, edit } = change;
  const files = edit(readFileSet(join(env.fleet.folder, "deployment")));
  const { status, value } = await env.callOperator(host, "/ops/config", {
    files,
    baseVersion,
  });
  if (status !== 200) return;
  const { version, digest } = value as { version: number; digest: string };
  env.observe({ kind: "config-accepted", version, digest });
}

function editFile(
  files: FileSet,
  name: string,
  edit: (text: string) => string,
) {
  return { ...files, [name]: edit(files[name]!) };
}

/** Changes the weight of one team. */
function changeWeight(env: FaultEnvironment, files: FileSet): FileSet {
  const weight = 1 + Math.floor(env.random() * 9);
  return editFile(
    files,
    "teams.toml",
    (text) => text.replace(/weight = \d+/, `weight = ${weight}`),
  );
}

/** Declares another model for every engine, so that each needs orders. */
function changeModel(env: FaultEnvironment, files: FileSet): FileSet {
  const model = `model-${Math.floor(env.random() * 1e6)}`;
  return editFile(
    files,
    "upstreams.toml",
    (text) => text.replace(/model = "[^"]+"/g, `model = "${model}"`),
  );
}

async function getVersion(
  env: FaultEnvironment,
  host: string,
): Promise<number> {
  const { value } = await env.callOperator(host, "/ops/status");
  return (value as { configVersion: number }).configVersion;
}

async function raceOperators(env: FaultEnvironment): Promise<void> {
  const hosts = [env.pickRouter(), env.pickRouter()];
  const baseVersion = await getVersion(env, hosts[0]!);
  const edit = (files: FileSet) => changeWeight(env, files);
  await Promise.allSettled(
    hosts.map((host) => postConfig(env, { host, baseVersion, edit })),
  );
  await sleep(1_000);
}

async function downAfterApply(env: FaultEnvironment): Promise<void> {
  const host = env.pickRouter();
  const baseVersion = await getVersion(env, host);
  const edit = (files: FileSet) => changeWeight(env, files);
  await postConfig(env, { host, baseVersion, edit });
  await env.controlPlatform({ down: true });
  await sleep(9_000);
  await env.controlPlatform({ down: false });
}

/** Pauses a host that may be sending orders while models change. */
async function changeModels(env: FaultEnvironment): Promise<void> {
  const host = env.pickRouter();
  const baseVersion = await getVersion(env, host);
  const edit = (files: FileSet) => changeModel(env, files);
  await postConfig(env, { host, baseVersion, edit });
  await sleep(drawBetween(env, 0, 1_500));
  await pauseRouter(env);
}

/** Lets callers send a content that crashes engines, repeatedly. */
async function crashUpstreams(env: FaultEnvironment): Promise<void> {
  env.crashingWork = `crash-${Math.floor(env.random() * 1e9)}`;
  env.isCrashing = true;
  await sleep(8_000);
  env.isCrashing = false;
}
