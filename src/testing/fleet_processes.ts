/**
 * A whole deployment as processes on loopback: platform, upstreams, routers, and
 * the example's files applied through `azurestile-apply`.
 *
 * @module
 */

import {
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import {
  decodeFileSet,
  deploymentFiles,
  type FileSet,
  readFileSet,
} from "../config/mod.ts";
import { getDigest } from "../core/mod.ts";
import type { ListedMachine } from "../platform/mod.ts";
import type { Deployment } from "../types.ts";
import {
  createProcessGroup,
  type ProcessGroup,
  type StartedProcess,
} from "./processes.ts";
import { type Relay, type RelayPlace, startRelay } from "./relay.ts";

/** The examples that can be run. */
export type ExampleName = "ikeja" | "kvinta";

/** A router's place in the run. */
export interface RouterPlace {
  readonly id: string;
  readonly dataCentre: string;
  readonly publicAddress: string;
  readonly peerAddress: string;
  /** Where it listens itself; differs from `peerAddress` behind a relay. */
  readonly peerBindAddress: string;
}

/** How to start a deployment. */
export interface FleetOptions {
  readonly routers: number;
  /** Added to every port. */
  readonly portShift: number;
  /** Puts relays before upstreams and before the routers' peer addresses. */
  readonly withRelays?: boolean;
  /** Called with each line that an upstream writes. */
  readonly onUpstreamLine?: (upstream: string, line: string) => void;
}

/** A running deployment. */
export interface FleetProcesses extends AsyncDisposable {
  readonly deployment: Deployment;
  readonly folder: string;
  readonly group: ProcessGroup;
  readonly routers: readonly RouterPlace[];
  readonly platformAddress: string;
  /** Relays by the id of the upstream or router behind them. */
  readonly relays: ReadonlyMap<string, Relay>;
  startRouter(place: RouterPlace): StartedProcess;
  startUpstream(id: string): StartedProcess;
  /** Where the upstream itself listens, past its relay. */
  getDirectAddress(upstream: string): string;
  /** Runs `azurestile-apply` on the example's files. */
  apply(): Promise<void>;
  /** Waits until every router is ready; throws after the limit. */
  waitUntilReady(limitMs: number): Promise<void>;
}

/** Key of the operator that the run uses. */
export const OPERATOR_KEY = "key-of-the-demo-operator";

/** Key of a team in the examples. */
export function getTeamKey(team: string): string {
  return `key-of-${team}`;
}

const PLATFORM_PORT = 21_000;
const PUBLIC_PORT = 21_001;
const PEER_PORT = 21_051;
const RELAYED_PORTS = 500;
const EXAMPLES = fileURLToPath(new URL("../../examples", import.meta.url));

/** Starts platform, upstreams and routers; `portShift` moves every port. */
export async function startFleetProcesses(
  example: ExampleName,
  options: FleetOptions,
): Promise<FleetProcesses> {
  const folder = mkdtempSync(join(tmpdir(), "azurestile-"));
  const files = shiftPorts(
    readFileSet(join(EXAMPLES, example)),
    options.portShift,
  );
  const deployment = decodeFileSet(files);
  const deploymentFolder = join(folder, "deployment");
  writeFileSet(deploymentFolder, files);
  // A key on the command line would show in the list of processes.
  const keyFile = join(folder, "operator.key");
  writeFileSync(keyFile, OPERATOR_KEY, { mode: 0o600 });
  const group = createProcessGroup(folder);
  const platformAddress = `127.0.0.1:${PLATFORM_PORT + options.portShift}`;
  const routers = getPlaces(deployment, options);
  const relays = new Map<string, Relay>();
  if (options.withRelays) {
    for (const place of getRelayPlaces(deployment, routers)) {
      relays.set(place.id, await startRelay(place));
    }
  }

  function getDirectAddress(id: string): string {
    const { address } = deployment.upstreams.find((each) => each.id === id)!;
    return options.withRelays ? moveAddress(address, RELAYED_PORTS) : address;
  }

  function startUpstream(id: string): StartedProcess {
    const upstream = deployment.upstreams.find((each) => each.id === id)!;
    const service = deployment.services.find((each) =>
      each.id === upstream.service
    )!;
    const port = getDirectAddress(id).split(":")[1]!;
    return group.start(id, "testing/fake_upstream_server.js", {
      args: [id, port, service.kind, upstream.fencing],
      onLine: (line) => options.onUpstreamLine?.(id, line),
    });
  }

  function startRouter(place: RouterPlace): StartedProcess {
    const file = join(folder, `${place.id}.toml`);
    writeFileSync(file, createSettings(place, platformAddress));
    const args = ["--settings", file];
    return group.start(place.id, "bin/azurestile_router.js", { args });
  }

  group.start("platform", "testing/fake_platform_server.js", {
    args: [platformAddress.split(":")[1]!],
  });
  for (const { id } of deployment.upstreams) startUpstream(id);
  await waitFor(() => setMachines(platformAddress, routers), 5_000);
  for (const place of routers) startRouter(place);
  for (const place of routers) await waitForPath(place, "/healthz", 15_000);

  return {
    deployment,
    folder,
    group,
    routers,
    platformAddress,
    relays,
    startRouter,
    startUpstream,
    getDirectAddress,
    async apply() {
      const started = group.start("apply", "bin/azurestile_apply.js", {
        args: [
          deploymentFolder,
          "--router",
          routers[0]!.publicAddress,
          "--key-file",
          keyFile,
        ],
      });
      const code = await new Promise((resolve) =>
        started.child.once("exit", resolve)
      );
      if (code === 0) return;
      const output = readFileSync(join(folder, "apply.log"), "utf8");
      throw new Error(`azurestile-apply failed: ${output}`);
    },
    async waitUntilReady(limitMs) {
      for (const place of routers) {
        await waitForPath(place, "/readyz", limitMs);
      }
    },
    async [Symbol.asyncDispose]() {
      await group[Symbol.asyncDispose]();
      for (const relay of relays.values()) await relay[Symbol.asyncDispose]();
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

/** Asks again until the check holds; throws after the limit in ms. */
export async function waitFor(
  check: () => Promise<boolean>,
  limitMs: number,
): Promise<void> {
  const endMs = Date.now() + limitMs;
  while (Date.now() < endMs) {
    if (await check().catch(() => false)) return;
    await sleep(100);
  }
  throw new Error(`Not so within ${limitMs} ms: ${check}`);
}

function waitForPath(
  place: RouterPlace,
  path: string,
  limitMs: number,
): Promise<void> {
  return waitFor(async () => {
    const res = await fetch(`http://${place.publicAddress}${path}`);
    return res.ok;
  }, limitMs);
}

function shiftPorts(files: FileSet, shift: number): FileSet {
  const shifted = Object.entries(files).map(([name, text]) => [
    name,
    text.replace(
      /127\.0\.0\.1:(\d+)/g,
      (_, port) => `127.0.0.1:${Number(port) + shift}`,
    ),
  ]);
  return Object.fromEntries(shifted);
}

function writeFileSet(folder: string, files: FileSet): void {
  mkdirSync(folder);
  for (const name of deploymentFiles) {
    writeFileSync(join(folder, name), files[name]!);
  }
}

function getPlaces(
  deployment: Deployment,
  options: FleetOptions,
): readonly RouterPlace[] {
  const { dataCentres } = deployment;
  return Array.from({ length: options.routers }, (_, index) => {
    const dataCentre = dataCentres[index % dataCentres.length]!.id;
    const shift = options.portShift + index;
    return {
      id: `entry-${index + 1}`,
      dataCentre,
      publicAddress: `127.0.0.1:${PUBLIC_PORT + shift}`,
      peerAddress: `127.0.0.1:${PEER_PORT + shift}`,
      peerBindAddress: `127.0.0.1:${
        PEER_PORT + shift + (options.withRelays ? RELAYED_PORTS : 0)
      }`,
    };
  });
}

function moveAddress(address: string, ports: number): string {
  const [host, port] = address.split(":");
  return `${host}:${Number(port) + ports}`;
}

function getRelayPlaces(
  deployment: Deployment,
  routers: readonly RouterPlace[],
): readonly (RelayPlace & { readonly id: string })[] {
  const hosts = new Map(
    routers.map((place) => [place.peerBindAddress, place.id]),
  );
  const getDatagramSource = (address: string) => hosts.get(address) ?? "";
  const upstreams = deployment.upstreams.map((upstream) => ({
    id: upstream.id,
    from: upstream.address,
    to: moveAddress(upstream.address, RELAYED_PORTS),
    datagrams: false,
    getDatagramSource,
  }));
  const peers = routers.map((place) => ({
    id: place.id,
    from: place.peerAddress,
    to: place.peerBindAddress,
    datagrams: true,
    getDatagramSource,
  }));
  return [...upstreams, ...peers];
}

function createSettings(place: RouterPlace, platformAddress: string): string {
  return `host = "${place.id}"
data_centre = "${place.dataCentre}"
public_address = "${place.publicAddress}"
peer_address = "${place.peerAddress}"
peer_bind_address = "${place.peerBindAddress}"
platform_address = "${platformAddress}"
fleet_secret = "secret-of-the-demo-fleet"
log_level = "info"

[[operators]]
name = "demo"
key_digest = "${getDigest(OPERATOR_KEY)}"
`;
}

async function setMachines(
  platformAddress: string,
  routers: readonly RouterPlace[],
): Promise<boolean> {
  const entries: ListedMachine[] = routers.map((place) => ({
    id: place.id,
    role: "router",
    dataCentre: place.dataCentre,
    address: place.peerAddress,
    state: "live",
  }));
  const res = await fetch(`http://${platformAddress}/control/machines`, {
    method: "POST",
    body: JSON.stringify({ entries, atOnce: true }),
  });
  return res.ok;
}
