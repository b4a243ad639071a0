/**
 * The environment of a failure run: the processes, the routers and upstreams
 * that run, and the recorded observations.
 *
 * @module
 */

import type { Observation, ObservationBody } from "../proof/mod.ts";
import {
  type ExampleName,
  type FleetProcesses,
  OPERATOR_KEY,
  type RouterSpec,
  startFleetProcesses,
  waitFor,
} from "./fleet_processes.ts";
import type { StartedProcess } from "./processes.ts";

/** The environment of a failure run. */
export interface FaultEnvironment extends AsyncDisposable {
  readonly fleet: FleetProcesses;
  readonly history: Observation[];
  readonly random: () => number;
  observe(body: ObservationBody): void;
  /** Processes of the routers that run now, by id. */
  readonly routers: Map<string, StartedProcess>;
  /** Processes of the upstreams, by id. */
  readonly upstreams: Map<string, StartedProcess>;
  getRouter(host: string): RouterSpec;
  pickRouter(): string;
  pickUpstream(): string;
  restartUpstream(id: string): void;
  /** Restarts a router without state and waits until it is ready. */
  restartRouter(host: string): Promise<void>;
  /** Sends a control message to the fake platform. */
  controlPlatform(change: Readonly<Record<string, unknown>>): Promise<void>;
  callOperator(
    host: string,
    path: string,
    body?: unknown,
  ): Promise<{ readonly status: number; readonly value: unknown }>;
  /** Tag of the work whose content crashes engines; empty before the first. */
  crashingWork: string;
  /** Whether callers currently send the crashing work. */
  isCrashing: boolean;
}

const READY_TIMEOUT_MS = 20_000;
const VERSION_POLL_PERIOD_MS = 500;

/** Exit code of a fake engine that a request crashed. */
const CRASH_EXIT_CODE = 70;

/** Starts a deployment behind relays, applies its files, awaits readiness. */
export async function startFaultEnvironment(
  example: ExampleName,
  options: {
    routers: number;
    portShift: number;
    random: () => number;
  },
): Promise<FaultEnvironment> {
  const history: Observation[] = [];
  const startMs = performance.now();

  function observe(body: ObservationBody): void {
    const atMs = Math.round(performance.now() - startMs);
    history.push({ ...body, atMs });
  }

  const fleet = await startFleetProcesses(example, {
    routers: options.routers,
    portShift: options.portShift,
    withRelays: true,
    onUpstreamLine: (upstream, line) => observeRun(upstream, line),
  });
  const routers = new Map<string, StartedProcess>();
  const upstreams = new Map<string, StartedProcess>();
  for (const started of fleet.group.getAll()) {
    if (fleet.routers.some((router) => router.id === started.name)) {
      routers.set(started.name, started);
    }
    if (fleet.deployment.upstreams.some((each) => each.id === started.name)) {
      superviseUpstream(started);
    }
  }

  /** Restarts an engine that a request crashed, as a supervisor would. */
  function superviseUpstream(started: StartedProcess): void {
    upstreams.set(started.name, started);
    started.child.once("exit", (code) => {
      if (code !== CRASH_EXIT_CODE) return;
      const work = env.crashingWork;
      observe({ kind: "upstream-crashed", upstream: started.name, work });
      setTimeout(
        () => superviseUpstream(fleet.startUpstream(started.name)),
        500,
      );
    });
  }

  function observeRun(upstream: string, line: string): void {
    const { request, key, operation } = JSON.parse(line);
    if (operation !== "order") {
      observe({
        kind: "upstream-ran",
        upstream,
        request,
        work: key,
        operation,
      });
      return;
    }
    const fencing = fleet.deployment.upstreams
      .find((each) => each.id === upstream)!.fencing;
    observe({ kind: "order-taken", upstream, token: Number(key), fencing });
  }

  function pick(names: readonly string[]): string {
    return names[Math.floor(options.random() * names.length)]!;
  }

  const env: FaultEnvironment = {
    fleet,
    history,
    random: options.random,
    observe,
    routers,
    upstreams,
    crashingWork: "",
    isCrashing: false,
    getRouter: (host) => fleet.routers.find((router) => router.id === host)!,
    pickRouter: () => pick([...routers.keys()]),
    pickUpstream: () => pick([...upstreams.keys()]),
    restartUpstream: (id) => superviseUpstream(fleet.startUpstream(id)),
    async restartRouter(host) {
      const router = env.getRouter(host);
      routers.set(host, fleet.startRouter(router));
      await waitFor(async () => {
        const res = await fetch(`http://${router.publicAddress}/readyz`);
        return res.ok;
      }, READY_TIMEOUT_MS);
      observe({ kind: "host-reachable", host, reachable: true });
    },
    async controlPlatform(change) {
      await fetch(`http://${fleet.platformAddress}/control`, {
        method: "POST",
        body: JSON.stringify(change),
      });
    },
    async callOperator(host, path, body) {
      const { publicAddress } = env.getRouter(host);
      const res = await fetch(`http://${publicAddress}${path}`, {
        method: body === undefined ? "GET" : "POST",
        headers: { authorization: `Bearer ${OPERATOR_KEY}` },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(5_000),
      });
      return { status: res.status, value: await res.json() };
    },
    async [Symbol.asyncDispose]() {
      clearInterval(polling);
      await fleet[Symbol.asyncDispose]();
    },
  };
  await fleet.apply();
  await fleet.waitUntilReady(READY_TIMEOUT_MS);
  const polling = setInterval(
    () => observeVersions(env),
    VERSION_POLL_PERIOD_MS,
  );
  return env;
}

function observeVersions(env: FaultEnvironment): void {
  for (const host of env.routers.keys()) {
    env.callOperator(host, "/ops/status").then(({ value }) => {
      const { configVersion } = value as { configVersion: number };
      env.observe({ kind: "config-seen", host, version: configVersion });
      // A host that is down or paused does not respond; these failures are
      // recorded where they are injected.
    }).catch(() => {});
  }
}
