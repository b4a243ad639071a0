/**
 * The failures that a run brings about. Each begins, lasts and heals, and writes
 * down what an observer must know to judge the history.
 *
 * @module
 */

import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { type FileSet, readFileSet } from "../config/mod.ts";
import { join } from "node:path";
import type { FaultWorld } from "./fault_environment.ts";
import { waitFor } from "./fleet_processes.ts";

/** The failures by name. */
export const faultKinds = {
  "kill-router": killRouter,
  "pause-router": pauseRouter,
  "cut-router": cutRouter,
  "cut-region": cutRegion,
  "silence-upstream": silenceUpstream,
  "silence-peers": silencePeers,
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
  Record<string, (world: FaultWorld) => Promise<void>>
>;

/** The name of a failure. */
export type FaultName = keyof typeof faultKinds;

/** A control message waits so long for a process that is starting, in ms. */
const CONTROL_LIMIT_MS = 5_000;

function between(world: FaultWorld, lowMs: number, highMs: number): number {
  return lowMs + world.random() * (highMs - lowMs);
}

async function killRouter(world: FaultWorld): Promise<void> {
  const host = world.pickRouter();
  const started = world.routers.get(host)!;
  world.routers.delete(host);
  world.observe({ kind: "host-killed", host });
  await world.fleet.group.end(started, "SIGKILL");
  await sleep(between(world, 500, 5_000));
  await world.restartRouter(host);
}

async function pauseRouter(world: FaultWorld): Promise<void> {
  const host = world.pickRouter();
  const { child } = world.routers.get(host)!;
  world.observe({ kind: "host-reachable", host, reachable: false });
  child.kill("SIGSTOP");
  await sleep(between(world, 500, 12_000));
  child.kill("SIGCONT");
  world.observe({ kind: "host-reachable", host, reachable: true });
}

/** Nothing passes between the one side and the other, either way. */
async function cutBetween(
  world: FaultWorld,
  isInside: (host: string) => boolean,
): Promise<void> {
  const inside = [...world.routers.keys()].filter(isInside);
  for (const host of inside) {
    world.observe({ kind: "host-reachable", host, reachable: false });
  }
  for (const { id } of world.fleet.routers) {
    const relay = world.fleet.relays.get(id)!;
    relay.setCut((source) =>
      source !== "" && isInside(source) !== isInside(id)
    );
  }
  await sleep(between(world, 2_000, 10_000));
  for (const { id } of world.fleet.routers) {
    world.fleet.relays.get(id)!.setCut(() => false);
  }
  for (const host of inside) {
    if (!world.routers.has(host)) continue;
    world.observe({ kind: "host-reachable", host, reachable: true });
  }
}

async function cutRouter(world: FaultWorld): Promise<void> {
  const cut = world.pickRouter();
  await cutBetween(world, (host) => host === cut);
}

async function cutRegion(world: FaultWorld): Promise<void> {
  const { dataCentres } = world.fleet.deployment;
  const last = dataCentres.at(-1)!.region;
  const regions = new Map(dataCentres.map((each) => [each.id, each.region]));
  world.observe({ kind: "regions-cut", cut: true });
  await cutBetween(
    world,
    (host) => regions.get(world.getPlace(host).dataCentre) === last,
  );
  world.observe({ kind: "regions-cut", cut: false });
}

async function silenceUpstream(world: FaultWorld): Promise<void> {
  world.fleet.relays.get(world.pickUpstream())!.silenceOpen();
  await sleep(between(world, 1_000, 4_000));
}

async function silencePeers(world: FaultWorld): Promise<void> {
  world.fleet.relays.get(world.pickRouter())!.silenceOpen();
  await sleep(between(world, 1_000, 4_000));
}

async function restartUpstream(world: FaultWorld): Promise<void> {
  const upstream = world.pickUpstream();
  const started = world.upstreams.get(upstream)!;
  await world.fleet.group.end(started, "SIGKILL");
  await sleep(between(world, 200, 2_000));
  world.restartUpstream(upstream);
}

async function leaveUpstream(world: FaultWorld): Promise<void> {
  const upstream = world.pickUpstream();
  const address = world.fleet.getDirectAddress(upstream);
  const setLeaving = (leaving: boolean) =>
    waitFor(async () => {
      const res = await fetch(`http://${address}/control`, {
        method: "POST",
        body: JSON.stringify({ leaving }),
      });
      return res.ok;
    }, CONTROL_LIMIT_MS);
  await setLeaving(true);
  world.observe({ kind: "upstream-leaving", upstream });
  await sleep(between(world, 8_000, 10_000));
  world.observe({ kind: "upstream-back", upstream });
  await setLeaving(false);
}

async function platformDown(world: FaultWorld): Promise<void> {
  await world.controlPlatform({ down: true });
  await sleep(between(world, 2_000, 10_000));
  await world.controlPlatform({ down: false });
}

async function platformSlow(world: FaultWorld): Promise<void> {
  await world.controlPlatform({ delayMs: 1_500 });
  await sleep(between(world, 2_000, 6_000));
  await world.controlPlatform({ delayMs: 0 });
}

async function loseReplies(world: FaultWorld): Promise<void> {
  await world.controlPlatform({ lostReplies: 5 });
  await sleep(between(world, 1_000, 4_000));
  await world.controlPlatform({ lostReplies: 0 });
}

async function drainRouter(world: FaultWorld): Promise<void> {
  const host = world.pickRouter();
  const { child } = world.routers.get(host)!;
  world.routers.delete(host);
  world.observe({ kind: "host-asked-to-drain", host });
  const exited = once(child, "exit");
  child.kill("SIGTERM");
  await exited;
  world.observe({ kind: "host-exited", host });
  await sleep(500);
  await world.restartRouter(host);
}

/** Posts the example's files with one change, on the version given. */
async function postConfig(
  world: FaultWorld,
  change: {
    readonly host: string;
    readonly baseVersion: number;
    readonly edit: (files: FileSet) => FileSet;
  },
): Promise<void> {
  const { host, baseVersion, edit } = change;
  const files = edit(readFileSet(join(world.fleet.folder, "deployment")));
  const { status, value } = await world.callOperator(host, "/ops/config", {
    files,
    baseVersion,
  });
  if (status !== 200) return;
  const { version, digest } = value as { version: number; digest: string };
  world.observe({ kind: "config-accepted", version, digest });
}

function editFile(
  files: FileSet,
  name: string,
  edit: (text: string) => string,
) {
  return { ...files, [name]: edit(files[name]!) };
}

/** Gives one team another weight. */
function changeWeight(world: FaultWorld, files: FileSet): FileSet {
  const weight = 1 + Math.floor(world.random() * 9);
  return editFile(
    files,
    "teams.toml",
    (text) => text.replace(/weight = \d+/, `weight = ${weight}`),
  );
}

/** Declares another model at every engine: each must be given orders. */
function changeModel(world: FaultWorld, files: FileSet): FileSet {
  const model = `model-${Math.floor(world.random() * 1e6)}`;
  return editFile(
    files,
    "upstreams.toml",
    (text) => text.replace(/model = "[^"]+"/g, `model = "${model}"`),
  );
}

async function getVersion(world: FaultWorld, host: string): Promise<number> {
  const { value } = await world.callOperator(host, "/ops/status");
  return (value as { configVersion: number }).configVersion;
}

async function raceOperators(world: FaultWorld): Promise<void> {
  const hosts = [world.pickRouter(), world.pickRouter()];
  const baseVersion = await getVersion(world, hosts[0]!);
  const edit = (files: FileSet) => changeWeight(world, files);
  await Promise.allSettled(
    hosts.map((host) => postConfig(world, { host, baseVersion, edit })),
  );
  await sleep(1_000);
}

async function downAfterApply(world: FaultWorld): Promise<void> {
  const host = world.pickRouter();
  const baseVersion = await getVersion(world, host);
  const edit = (files: FileSet) => changeWeight(world, files);
  await postConfig(world, { host, baseVersion, edit });
  await world.controlPlatform({ down: true });
  await sleep(9_000);
  await world.controlPlatform({ down: false });
}

/** Orders go out, and one host that may give them is paused meanwhile. */
async function changeModels(world: FaultWorld): Promise<void> {
  const host = world.pickRouter();
  const baseVersion = await getVersion(world, host);
  const edit = (files: FileSet) => changeModel(world, files);
  await postConfig(world, { host, baseVersion, edit });
  await sleep(between(world, 0, 1_500));
  await pauseRouter(world);
}

/** Callers send one content that crashes engines, again and again. */
async function crashUpstreams(world: FaultWorld): Promise<void> {
  world.crashingWork = `crash-${Math.floor(world.random() * 1e9)}`;
  world.isCrashing = true;
  await sleep(8_000);
  world.isCrashing = false;
}
