/**
 * A whole deployment as processes on loopback: platform, upstreams and routers.
 * `azurestile-apply` applies the example's files.
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
import { type Relay, type RelaySpec, startRelay } from "./relay.ts";

/** Names of the example deployments. */
export type ExampleName = "ikeja" | "kvinta";

/** Id, data centre and addresses of a router. */
export interface RouterSpec {
  readonly id: string;
  readonly dataCentre: string;
  readonly publicAddress: string;
  readonly peerAddress: string;
  /** Address where it listens; differs from `peerAddress` behind a relay. */
  readonly peerBindAddress: string;
}

/** How to start a deployment. */
export interface FleetOptions {
  readonly routers: number;
  /** Added to every port. */
  readonly portShift: number;
  /** Whether to put relays before upstreams and routers' peer addresses. */
  readonly withRelays?: boolean;
  /** Called with each line of an upstream's standard output. */
  readonly onUpstreamLine?: (upstream: string, line: string) => void;
}

/** A running deployment. */
export interface FleetProcesses extends AsyncDisposable {
  readonly deployment: Deployment;
  readonly folder: string;
  readonly group: ProcessGroup;
  readonly routers: readonly RouterSpec[];
  readonly platformAddress: string;
  /** Relays by the id of the upstream or router behind them. */
  readonly relays: ReadonlyMap<string, Relay>;
  startRouter(router: RouterSpec): StartedProcess;
  startUpstream(id: string): StartedProcess;
  /** Address where the upstream listens, behind its relay if there is one. */
  getDirectAddress(upstream: string): string;
  /** Runs `azurestile-apply` on the example's files. */
  apply(): Promise<void>;
  /** Waits until all routers are ready, each up to the time-out in ms. */
  waitUntilReady(timeoutMs: number): Promise<void>;
}

/** API key of the operator of the run. */
export const OPERATOR_KEY = "key-of-the-demo-operator";

/** API key of a team in the examples. */
export function getTeamKey(team: string): string {
  return `key-of-${team}`;
}

const PLATFORM_PORT = 21_000;
const PUBLIC_PORT = 21_001;
const PEER_PORT = 21_051;
const RELAY_PORT_OFFSET = 500;
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
  // A key on the command line would be visible in the list of processes.
  const keyFile = join(folder, "operator.key");
  writeFileSync(keyFile, OPERATOR_KEY, { mode: 0o600 });
  const group = createProcessGroup(folder);
  const platformAddress = `127.0.0.1:${PLATFORM_PORT + options.portShift}`;
  const routers = createRouterSpecs(deployment, options);
  const relays = new Map<string, Relay>();
  if (options.withRelays) {
    for (const spec of createRelaySpecs(deployment, routers)) {
      relays.set(spec.id, await startRelay(spec));
    }
  }

  function getDirectAddress(id: string): string {
    const { address } = deployment.upstreams.find((each) => each.id === id)!;
    return options.withRelays
      ? shiftAddress(address, RELAY_PORT_OFFSET)
      : address;
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

  function startRouter(router: RouterSpec): StartedProcess {
    const file = join(folder, `${router.id}.toml`);
    writeFileSync(file, createSettings(router, platformAddress));
    const args = ["--settings", file];
    return group.start(router.id, "bin/azurestile_router.js", { args });
  }

  group.start("platform", "testing/fake_platform_server.js", {
    args: [platformAddress.split(":")[1]!],
  });
  for (const { id } of deployment.upstreams) startUpstream(id);
  await waitFor(() => setMachines(platformAddress, routers), 5_000);
  for (const router of routers) startRouter(router);
  for (const router of routers) await waitForPath(router, "/healthz", 15_000);

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
    async waitUntilReady(timeoutMs) {
      for (const router of routers) {
        await waitForPath(router, "/readyz", timeoutMs);
      }
    },
    async [Symbol.asyncDispose]() {
      await group[Symbol.asyncDispose]();
      for (const relay of relays.values()) await relay[Symbol.asyncDispose]();
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

/** Polls until the check succeeds; throws after the time-out in ms. */
export async function waitFor(
  check: () => Promise<boolean>,
  timeoutMs: number,
): Promise<void> {
  const endMs = Date.now() + timeoutMs;
  while (Date.now() < endMs) {
    if (await check().catch(() => false)) return;
    await sleep(100);
  }
  throw new Error(`Condition not met within ${timeoutMs} ms: ${check}`);
}

function waitForPath(
  router: RouterSpec,
  path: string,
  timeoutMs: number,
): Promise<void> {
  return waitFor(async () => {
    const res = await fetch(`http://${router.publicAddress}${path}`);
    return res.ok;
  }, timeoutMs);
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

function createRouterSpecs(
  deployment: Deployment,
  options: FleetOptions,
): readonly RouterSpec[] {
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
        PEER_PORT + shift + (options.withRelays ? RELAY_PORT_OFFSET : 0)
      }`,
    };
  });
}

function shiftAddress(address: string, ports: number): string {
  const [host, port] = address.split(":");
  return `${host}:${Number(port) + ports}`;
}

function createRelaySpecs(
  deployment: Deployment,
  routers: readonly RouterSpec[],
): readonly (RelaySpec & { readonly id: string })[] {
  const hosts = new Map(
    routers.map((router) => [router.peerBindAddress, router.id]),
  );
  const getDatagramSource = (address: string) => hosts.get(address) ?? "";
  const upstreams = deployment.upstreams.map((upstream) => ({
    id: upstream.id,
    from: upstream.address,
    to: shiftAddress(upstream.address, RELAY_PORT_OFFSET),
    datagrams: false,
    getDatagramSource,
  }));
  const peers = routers.map((router) => ({
    id: router.id,
    from: router.peerAddress,
    to: router.peerBindAddress,
    datagrams: true,
    getDatagramSource,
  }));
  return [...upstreams, ...peers];
}

function createSettings(router: RouterSpec, platformAddress: string): string {
  return `host = "${router.id}"
data_centre = "${router.dataCentre}"
public_address = "${router.publicAddress}"
peer_address = "${router.peerAddress}"
peer_bind_address = "${router.peerBindAddress}"
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
  routers: readonly RouterSpec[],
): Promise<boolean> {
  const entries: ListedMachine[] = routers.map((router) => ({
    id: router.id,
    role: "router",
    dataCentre: router.dataCentre,
    address: router.peerAddress,
    state: "live",
  }));
  const res = await fetch(`http://${platformAddress}/control/machines`, {
    method: "POST",
    body: JSON.stringify({ entries, atOnce: true }),
  });
  return res.ok;
}
