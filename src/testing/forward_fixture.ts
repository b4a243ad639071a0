/**
 * An entry host's forwarding on loopback, between a caller and upstreams whose
 * responses the test controls byte by byte.
 *
 * @module
 */

import type { Agent, ServerResponse } from "node:http";
import * as Effect from "effect/Effect";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { createRetryBudget } from "../admission/mod.ts";
import { type Clock, systemClock } from "../core/mod.ts";
import { type CrashWatch, createCrashWatch } from "../crashes/mod.ts";
import type { Decision } from "../diagnostics/mod.ts";
import {
  createUpstreamDirectory,
  type UpstreamEntry,
} from "../discovery/mod.ts";
import { listen } from "../entry/servers.ts";
import { startTicker } from "../entry/ticker.ts";
import {
  createHeldMemory,
  createUpstreamAgent,
  type ForwardHost,
  serve,
  tryConnect,
} from "../forwarding/mod.ts";
import { createLoadView } from "../load/mod.ts";
import { getNameDigest } from "../peers/mod.ts";
import type { PacingRecorder } from "../pacing/mod.ts";
import {
  createPrefixPlacements,
  type PrefixPlacements,
} from "../prefixes/mod.ts";
import { createPromptQueue } from "../queue/mod.ts";
import {
  createRouteTable,
  type MemoryTransfer,
  type Route,
} from "../routing/mod.ts";
import type { FirstEvent, FoundVersion } from "../stream_versions/mod.ts";
import {
  createBackoffWatch,
  createHealthWatch,
  type HealthWatch,
} from "../upstreams/mod.ts";
import type { WarmUpAllowance } from "../warmup/mod.ts";
import { createLoneTree } from "./aggregation_trees.ts";
import { createTestCodec } from "./call_codec.ts";
import {
  type CallerResponse,
  type CallOptions,
  send,
  sendAndClose,
  sendHead,
  sendRaw,
} from "./forward_callers.ts";
import {
  createRoute,
  createRoutingConfig,
  createUpstreamEntry,
} from "./routing_fixture.ts";

/** What a fake upstream does with a request. */
export type Behaviour = (socket: Socket, request: UpstreamRequest) => void;

/** A request as it arrived at a fake upstream. */
export interface UpstreamRequest {
  readonly text: string;
  readonly id: string;
  /** Lets the upstream accept no further connection. */
  stopListening(): void;
}

/** An entry host with its upstreams. */
export interface ForwardFixture extends AsyncDisposable {
  /** Sends a request and waits for its response to end. */
  call(options?: CallOptions): Promise<CallerResponse>;
  /** Sends only the head of a request; resolves to the first response bytes. */
  sendHead(): Promise<string>;
  /** Sends a request and half-closes the connection immediately. */
  sendAndClose(): Promise<void>;
  /** Sends a request and returns its connection. */
  sendRaw(id: string): Socket;
  /** Registers another start of the upstream, with that software version. */
  restartUpstream(at: number, softwareVersion: string): void;
  /** Lets the host know that the upstream is leaving. */
  leaveUpstream(id: string): void;
  /** Runs scheduling passes periodically, as an entry host does. */
  startSchedulingPasses(): Disposable;
  /** Prefill tokens that count as outstanding at the first upstream. */
  getReadingTokens(): number;
  /** The upstream of each request that has arrived at one, in order. */
  readonly arrivals: readonly string[];
  readonly log: readonly Decision[];
  readonly controls: Controls;
  /** Puts the next configuration in force, whose route has the changes. */
  applyConfiguration(routeChanges: Partial<Route>): void;
  readonly recordedPacing: RecordedPacing;
  /** Tokens that were recorded as asked for by the team, in order. */
  readonly askedTokens: readonly number[];
  /** Whether each start of a prompt counts as a repeated one. */
  readonly repeatedStarts: readonly boolean[];
  /** Streams that began here. */
  readonly begun: readonly FirstEvent[];
  readonly crashes: CrashWatch;
  readonly upstreamAddresses: readonly string[];
  readonly health: HealthWatch;
  /** Port at which the host listens for callers. */
  readonly port: number;
  /** The host's responses to callers, in order of arrival. */
  readonly responses: readonly ServerResponse[];
  /** Holds the host's connections to the upstreams. */
  readonly agent: Agent;
}

/** What was recorded in the service's pacing. */
export interface RecordedPacing {
  /** Prefill tokens at the upstream before each first event. */
  readonly firstEvents: number[];
  /** For each inter-event pause, whether it exceeded its target. */
  readonly pauses: boolean[];
}

/** Simulated load of the host and its upstreams; set by tests. */
export interface Controls {
  isOverloaded: boolean;
  unreadMs: number;
  /** Time since a stall of the host began that has just ended, in ms. */
  stalledMs: number;
  /** Requests in flight at each upstream. */
  inFlight: number;
  /** Ids of upstreams without free slots. */
  fullUpstreams: ReadonlySet<string>;
  /** Ids of upstreams that are cold, though their warm-up allows any request. */
  coldUpstreams: ReadonlySet<string>;
  /** Service that each team received, divided by its share. */
  shareUsed: number;
  /** What the warm-up of each upstream allows the host. */
  warmUp: WarmUpAllowance;
  /** Data centres that are evacuated. */
  evacuated: ReadonlySet<string>;
  /** Whether the retry budget has retries left. */
  hasRetries: boolean;
  /** What is known of each stream that a caller takes up. */
  foundVersion: FoundVersion;
  /** Called with each decision when it is logged. */
  onDecision(decision: Decision): void;
}

/** Most prefill tokens that may be outstanding at an upstream. */
const PREFILL_LIMIT_TOKENS = 14_000;

/** Time to prefill a token, in ms, as learned. */
const MS_PER_PREFILL_TOKEN = 0.02;

/** Interval between two scheduling passes, in ms. */
const SCHEDULING_PERIOD_MS = 10;

/** Further parts of a fixture. */
export interface FixtureOptions {
  /** Addresses of upstreams that are preferred to all others, in order. */
  readonly preferredAddresses?: readonly string[];
  /** Addresses of upstreams to which all others are preferred. */
  readonly lastAddresses?: readonly string[];
  /** Bytes that the responses of the host may take. */
  readonly responseMemoryBytes?: number;
  /** Bytes that the bodies of the host's requests may take. */
  readonly requestMemoryBytes?: number;
  /** Most bytes of the body of one request; that of the configuration if left out. */
  readonly maxBodyBytes?: number;
  /** Software version of each upstream; that of the fixture's entries if left out. */
  readonly softwareVersions?: readonly string[];
  /** How upstreams fetch prefixes from each other; they do not if left out. */
  readonly memoryTransfer?: MemoryTransfer;
  /** What the host knows of placements; those of a lone host if left out. */
  readonly prefixes?: PrefixPlacements;
}

/**
 * Bytes that the responses of the host may take, or its request bodies, unless a
 * test says else.
 */
const HELD_MEMORY_BYTES = 30_000_000;

/** Starts an entry host with upstreams that behave as given. */
export async function createForwardFixture(
  behaviours: readonly Behaviour[],
  routeChanges: Partial<Route> = {},
  {
    preferredAddresses = [],
    lastAddresses = [],
    responseMemoryBytes = HELD_MEMORY_BYTES,
    requestMemoryBytes = HELD_MEMORY_BYTES,
    maxBodyBytes,
    softwareVersions = [],
    memoryTransfer,
    prefixes = createLonePlacements(),
  }: FixtureOptions = {},
): Promise<ForwardFixture> {
  const arrivals: string[] = [];
  const log: Decision[] = [];
  const sockets = new Set<Socket>();
  const servers = await Promise.all(
    behaviours.map((behaviour, at) =>
      listenRaw(`up-${at}`, behaviour, arrivals, sockets)
    ),
  );
  const entries = [
    ...createEntries("preferred", preferredAddresses),
    ...createEntries("up", servers.map(({ port }) => `127.0.0.1:${port}`))
      .map((each, at) => ({
        ...each,
        softwareVersion: softwareVersions[at] ?? each.softwareVersion,
      })),
    ...createEntries("z-last", lastAddresses),
  ];
  const directory = createUpstreamDirectory({
    clock: systemClock,
    getPlatformReturnMs: () => -Infinity,
    onChange: () => {},
  });
  let tableVersion = 0;

  function updateDirectory(): void {
    tableVersion++;
    const rows = entries.map((value) => ({
      key: value.id,
      version: tableVersion,
      value,
    }));
    directory.update(new Map(rows.map((row) => [row.key, row])), {
      version: tableVersion,
    });
  }

  updateDirectory();
  const route = createRoute({ hasPrompts: false, ...routeChanges });
  const defaults = createRoutingConfig();
  const services = defaults.services
    .map((each) => ({ ...each, memoryTransfer }));
  const callerLimits = {
    ...defaults.callerLimits,
    ...(maxBodyBytes === undefined ? {} : { maxBodyBytes }),
  };
  let routes = createRouteTable(
    createRoutingConfig({ routes: [route], services, callerLimits }),
  );
  const controls: Controls = {
    isOverloaded: false,
    unreadMs: 0,
    stalledMs: 0,
    inFlight: 0,
    fullUpstreams: new Set(),
    coldUpstreams: new Set(),
    shareUsed: 0,
    evacuated: new Set(),
    hasRetries: true,
    foundVersion: {
      kind: "found",
      version: "v1",
      from: "single-version",
      asked: 0,
      answered: 0,
    },
    warmUp: "unlimited",
    onDecision: () => {},
  };
  const recordedPacing: RecordedPacing = { firstEvents: [], pauses: [] };
  const askedTokens: number[] = [];
  const repeatedStarts: boolean[] = [];
  const begun: FirstEvent[] = [];
  function writeLog(decision: Decision): void {
    log.push(decision);
    controls.onDecision(decision);
  }
  const crashes = createLoneCrashWatch(writeLog);
  const host = createHost(directory, {
    controls,
    recordedPacing,
    askedTokens,
    repeatedStarts,
    begun,
    crashes,
    log: writeLog,
    prefixes,
    tryGetRoutes: () => routes,
    requestMemory: createHeldMemory(requestMemoryBytes),
    responseMemory: createHeldMemory(responseMemoryBytes),
  });
  const responses: ServerResponse[] = [];
  const callers = await listen("127.0.0.1:0", (req, res) => {
    responses.push(res);
    serve(host, req, res);
  });
  const { port } = callers.server.address() as AddressInfo;

  return {
    arrivals,
    log,
    controls,
    recordedPacing,
    askedTokens,
    repeatedStarts,
    begun,
    crashes,
    upstreamAddresses: entries.map((each) => each.address),
    health: host.health,
    port,
    responses,
    agent: host.agent,
    applyConfiguration(changes) {
      const { version } = routes.config;
      routes = createRouteTable(createRoutingConfig({
        version: version + 1,
        routes: [{ ...route, ...changes }],
        services,
        callerLimits,
      }));
    },
    call: (options = {}) => send(port, options),
    sendHead: () => sendHead(port),
    sendAndClose: () => sendAndClose(port),
    sendRaw: (id) => sendRaw(port, id),
    restartUpstream(at, softwareVersion) {
      const entry = entries[at]!;
      const incarnation = entry.incarnation + 1;
      entries[at] = { ...entry, softwareVersion, incarnation };
      updateDirectory();
    },
    leaveUpstream: (id) =>
      host.markLeaving(entries.find((each) => each.id === id)!),
    startSchedulingPasses: () =>
      startTicker(SCHEDULING_PERIOD_MS, { decide: host.queue.tick }),
    getReadingTokens: () => host.load.getReadingTokens("up-0"),
    async [Symbol.asyncDispose]() {
      host.agent.destroy();
      await callers[Symbol.asyncDispose]();
      for (const socket of sockets) socket.destroy();
      for (const { server } of servers) server.close();
    },
  };
}

/** Creates the entries of upstreams, whose ids order them. */
function createEntries(
  prefix: string,
  addresses: readonly string[],
): readonly UpstreamEntry[] {
  return addresses.map((address, at) =>
    createUpstreamEntry({ id: `${prefix}-${at}`, address })
  );
}

function createHost(
  directory: ForwardHost["directory"],
  parts:
    & Pick<
      ForwardHost,
      | "log"
      | "tryGetRoutes"
      | "crashes"
      | "requestMemory"
      | "responseMemory"
      | "prefixes"
    >
    & {
      readonly controls: Controls;
      readonly recordedPacing: RecordedPacing;
      readonly askedTokens: number[];
      readonly repeatedStarts: boolean[];
      readonly begun: FirstEvent[];
    },
): ForwardHost {
  const clock = systemClock;
  const load = createLoadView({
    clock,
    getDigest: getNameDigest,
    isAlive: () => true,
    getStatedCapacity: () => 0,
    getLearned: () => [],
  });
  const pacing: PacingRecorder = {
    recordFirstEvent: (tokens) =>
      void parts.recordedPacing.firstEvents.push(tokens),
    recordPause: (isLate) => void parts.recordedPacing.pauses.push(isLate),
  };
  const retryBudget = createRetryBudget(clock);
  return {
    log: parts.log,
    tryGetRoutes: parts.tryGetRoutes,
    prefixes: parts.prefixes,
    requestMemory: parts.requestMemory,
    responseMemory: parts.responseMemory,
    clock,
    startedMs: clock.monotonicMs(),
    codec: createTestCodec(),
    agent: createUpstreamAgent(),
    directory,
    markLeaving: (life) => void directory.markLeaving(life, "answer"),
    load: {
      ...load,
      recordAsked: (_team, tokens) => void parts.askedTokens.push(tokens),
    },
    getPacing: () => pacing,
    getPrefillMsPerToken: () => MS_PER_PREFILL_TOKEN,
    getWeight: () => 1,
    queue: createPromptQueue({
      nowMs: clock.monotonicMs,
      getLoad: (upstream) => ({
        slots: parts.controls.fullUpstreams.has(upstream) ? 0 : 48,
        inFlight: parts.controls.inFlight,
        readingTokens: 0,
        underservedElsewhere: 0,
        underservedTokens: 0,
        yieldingElsewhere: 0,
        isWarmUpSpent: false,
      }),
      getShareUsed: () => parts.controls.shareUsed,
      getServiceRates: () => ({ asked: 0, begun: 0, mostBegun: 0 }),
      getCoverage: () => ({ hosts: 1, ageMs: 0 }),
      getServiceLevel: () => 0,
      isOverserved: () => false,
      isUnderserved: () => false,
      onWaiting: () => {},
      getProcessorUse: () => ({ utilization: 0, isShort: false }),
      getMeanEfficiency: () => 0,
      getLimitTokens: () => PREFILL_LIMIT_TOKENS,
      random: () => 0.5,
      onStart({ isRepeated }, upstream, readingTokens) {
        parts.repeatedStarts.push(isRepeated);
        load.beginPrefill(upstream, readingTokens);
      },
    }),
    health: createHealthWatch(clock),
    backoffs: createBackoffWatch(clock),
    crashes: parts.crashes,
    streamVersions: {
      find: () => Effect.sync(() => parts.controls.foundVersion),
      recordBegun: (stream) => void parts.begun.push(stream),
    },
    incarnations: {
      isSuperseded: () => false,
      prove: () => Promise.resolve(true),
    },
    retryBudget: {
      recordSuccess: retryBudget.recordSuccess,
      hasRetry: (team, service) =>
        parts.controls.hasRetries && retryBudget.hasRetry(team, service),
      tryTake: (team, service) =>
        parts.controls.hasRetries && retryBudget.tryTake(team, service),
    },
    getRegion: () => "lagos",
    getEvacuated: () => parts.controls.evacuated,
    warmUps: {
      getAllowance: () => parts.controls.warmUp,
      take: () => {},
      isCold: ({ id }) =>
        parts.controls.warmUp !== "unlimited" ||
        parts.controls.coldUpstreams.has(id),
    },
    recordWarmUp: () => {},
    getDistance: () => "same-data-centre",
    isOverloaded: () => parts.controls.isOverloaded,
    getTurnOverrunMs: () => 0,
    getUnreadMs: () => parts.controls.unreadMs,
    getStalledMs: () => parts.controls.stalledMs,
    mayStartRequest: () => true,
    onEnding: () => ({ [Symbol.dispose]: () => {} }),
    tryGetRelay: () => undefined,
    getInputs: () => ({
      configVersion: 1,
      upstreamsVersion: 1,
      confirmedMsAgo: 0,
    }),
    onRequestEnded: () => {},
    random: () => 0,
  };
}

/** Creates the placements of a fleet of one host. */
export function createLonePlacements(
  clock: Clock = systemClock,
): PrefixPlacements {
  const self = { peerAddress: "lone", dataCentre: "lagos-ikeja" };
  return createPrefixPlacements({
    clock,
    self,
    tree: createLoneTree(clock, self),
    getHosts: () => [self],
    getDigest: getNameDigest,
    onRecorded: () => {},
  });
}

/** Creates the crash watch of a fleet of one host. */
function createLoneCrashWatch(log: (decision: Decision) => void): CrashWatch {
  return createCrashWatch({
    clock: systemClock,
    self: "lone",
    getHosts: () => ["lone"],
    sendFacts: () => {},
    broadcastFact: () => {},
    gossipFact: () => {},
    tryConnect,
    onAsked: () => {},
    log,
  });
}

async function listenRaw(
  name: string,
  behaviour: Behaviour,
  arrivals: string[],
  sockets: Set<Socket>,
) {
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    socket.on("data", (bytes) => {
      const text = bytes.toString("latin1");
      const id = /x-id: (\S+)/i.exec(text)?.[1];
      if (id === undefined) return;
      arrivals.push(name);
      behaviour(socket, { text, id, stopListening: () => server.close() });
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  return { server, port: (server.address() as AddressInfo).port };
}
