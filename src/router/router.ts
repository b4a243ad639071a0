/**
 * One router process: makes the parts, joins them and runs their tasks.
 * Disposing of a router ends its tasks and closes its sockets.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import { createConfigStore, type RouterSettings } from "../config/mod.ts";
import {
  type Clock,
  createHybridClock,
  getDigest,
  systemClock,
} from "../core/mod.ts";
import type { Logger } from "../diagnostics/mod.ts";
import { createFleet, defaultFleetPolicy } from "../fleet/mod.ts";
import { createMembership } from "../membership/mod.ts";
import {
  createDatagramCodec,
  createPeerLink,
  listenForPeers,
  openDatagrams,
} from "../peers/mod.ts";
import type { Platform, PlatformError } from "../platform/mod.ts";
import { serveRequest } from "../requests/serve.ts";
import { createRecorder } from "../timeline/mod.ts";
import { createConfiguration } from "./configuration.ts";
import { createOutOfSight, isCrashFact } from "./crash_facts.ts";
import { createDrain, type DrainResult } from "./drain.ts";
import { createJournal } from "./journal.ts";
import { createLeavingUpstreams } from "./leaving.ts";
import { createRouterMetrics } from "./metrics.ts";
import { createObservedPlatform } from "./observed_platform.ts";
import { createOperatorHandlers } from "./operator_handlers.ts";
import { startPeriodicTasks } from "./periodic.ts";
import { listenForCallers } from "./public_server.ts";
import { createRegions } from "./regions.ts";
import { createFlushedSlots, createFlusher } from "./flusher.ts";
import { learnListedHosts, learnSeeds } from "./seeds.ts";
import { createServing } from "./serving.ts";
import { createTaskWatch } from "./task_watch.ts";
import { onPlatformFailure } from "./tasks.ts";
import { createUpstreamWatch } from "./upstream_watch.ts";
import { getNamedHosts, serveWhere } from "./where.ts";

/** What a router needs of the world. */
export interface RouterHost {
  readonly clock: Clock;
  readonly platform: Platform;
  readonly logger: Logger;
}

/** A running router. */
export interface Router extends AsyncDisposable {
  /** Takes no new work, ends what it has, within the limit of the settings. */
  drain(): Promise<DrainResult>;
  /** Answers that are not whole yet. */
  countInFlight(): number;
}

const FLUSH_MS = 5;

const TIMELINE_CAPACITY = 20_000;

/** Starts a router; rejects when an address is taken. */
export async function startRouter(
  settings: RouterSettings,
  host: RouterHost,
): Promise<Router> {
  const { clock, logger } = host;
  const platform = createObservedPlatform(
    host.platform,
    () => metrics.addPlatformFailure(),
  );
  const hybridClock = createHybridClock(clock);
  const recorder = createRecorder({
    id: settings.host,
    hybridClock,
    onEvent: (event) => metrics.observeEvent(event),
  }, TIMELINE_CAPACITY);
  const metrics = createRouterMetrics({
    getDeployment: () => configuration.getCurrent()?.deployment,
    getConfigVersion: () => configuration.getCurrent()?.version ?? 0,
    getOwned: () => fleet.getOwned(),
    getQueued: (service) => fleet.slots.getQueues(service).getCounts(),
    tryGetOldestMs: (service) =>
      fleet.slots.getQueues(service).tryGetOldestMs(),
    getCounter: (service, team) =>
      fleet.getCounters().get(service)?.get(team) ?? 0,
    getMembers: () => membership.getMembers(),
    isReady: () => tryGetNotReady() === undefined,
    nowMs: clock.monotonicMs,
  });
  const fleetToken = getDigest(settings.fleetSecret);
  const bindAddress = settings.peerBindAddress ?? settings.peerAddress;
  const incarnation = Math.floor(clock.wallMs());
  const configStore = createConfigStore(platform);

  const journal = createJournal({ logger, recorder, metrics });
  const taskWatch = createTaskWatch({ clock, onFailed: journal.taskFailed });

  const configuration = createConfiguration({
    clock,
    store: configStore,
    fleetToken,
    getMembership: () => membership,
    onInForce(config) {
      journal.configInForce(config);
      fleet.reconcile();
    },
    onRefused: journal.configRefused,
  });
  const getDeployment = () => configuration.getCurrent()?.deployment;
  const regions = createRegions({
    dataCentre: settings.dataCentre,
    getDeployment,
    getMembers: () => membership.getMembers(),
  });

  const leaving = createLeavingUpstreams({
    clock,
    spreadFact: (fact) => membership.spreadFact(fact),
    onChange(upstream, isLeaving) {
      journal.upstreamLeaving(upstream, isLeaving);
      fleet.reconcile();
    },
  });

  const outOfSight = createOutOfSight(clock);
  const membership = createMembership({
    host: settings.host,
    incarnation,
    revision: 1,
    state: "alive",
    dataCentre: settings.dataCentre,
    peerAddress: settings.peerAddress,
    publicAddress: settings.publicAddress,
  }, {
    clock,
    send(address, message) {
      const bytes = datagrams.send(address, message);
      const crossesRegion = regions.isPeerFar(address);
      metrics.addControlBytes("heartbeat", bytes, { crossesRegion });
    },
    random: Math.random,
    onChange(member) {
      outOfSight.receive(member);
      journal.memberChanged(member);
      fleet.reconcile();
    },
    onFact(fact) {
      if (isCrashFact(fact)) serving.quarantine.receiveFact(fact.value);
      else leaving.receiveFact(fact);
    },
    onConfigVersion: (version, digest, from) =>
      configuration.receiveClaim({ version, digest }, from),
    getConfigVersion: () => ({
      version: configuration.getCurrent()?.version ?? 0,
      digest: configuration.getCurrent()?.digest ?? "",
    }),
  });

  const fleet = createFleet({
    id: settings.host,
    incarnation,
    dataCentre: settings.dataCentre,
    fleetToken,
    clock,
    hybridClock,
    recorder,
    membership,
    getDeployment,
    isUpstreamLeaving: leaving.isLeaving,
    policy: defaultFleetPolicy,
    random: Math.random,
    createLink: (address, linkHost) =>
      createPeerLink(address, {
        ...linkHost,
        onOpen() {
          linkHost.onOpen();
          flusher.kick();
        },
        onFrame(frame) {
          linkHost.onFrame(frame);
          flusher.kick();
        },
      }),
    isDialedBy: (peer) => peerServer.isConnected(peer),
    defer: (run) =>
      queueMicrotask(() => {
        run();
        flusher.kick();
      }),
    trySendBack: (peer, frame) => peerServer.trySend(peer, frame),
    onPeerLost: journal.peerLost,
    onControlSent(kind, bytes, peer) {
      const crossesRegion = regions.isHostFar(peer);
      metrics.addControlBytes(kind, bytes, { crossesRegion });
    },
  });

  const drain = createDrain({
    clock,
    sleep: Effect.sleep,
    hasCallers: () => getDeployment() !== undefined,
    leave: membership.leave,
    getOtherHosts: () => getNamedHosts(membership).map((each) => each.address),
    onPhase: journal.drainPhase,
  }, settings);

  const flusher = createFlusher({
    flush: fleet.flush,
    hasWaiting: () => serving.backlog.getUse().requests > 0,
  }, FLUSH_MS);
  const serving = createServing({
    settings,
    incarnation,
    clock,
    platform,
    recorder,
    journal,
    metrics,
    regions,
    membership,
    fleet,
    drain,
    slots: createFlushedSlots(fleet.slots, flusher.kick),
    getDeployment,
    isSomeHostOutOfSight: outOfSight.isAny,
  });

  const datagrams = await openDatagrams(
    bindAddress,
    {
      codec: createDatagramCodec(settings.fleetSecret),
      onMessage: membership.receive,
    },
  );
  const peerServer = await listenForPeers(bindAddress, {
    fleetToken,
    onFrame(peer, frame) {
      fleet.receiveFrame(peer, frame);
      flusher.kick();
    },
    tryGetConfiguration: configuration.tryEncode,
    countHosts: () => membership.getMembers().length,
  });
  const publicServer = await listenForCallers({
    settings,
    getDeployment,
    serveRequest: (req, res) =>
      drain.track(res, serveRequest(serving.host, req, res)),
    serveWhere: (req, res) =>
      serveWhere(
        { membership, ttlMs: settings.whereTtlMs, getDeployment },
        req,
        res,
      ),
    tryGetNotReady,
    tryGetUnhealthy: taskWatch.tryGetStuck,
    getMetrics: metrics.render,
    operatorHandlers: createOperatorHandlers({
      clock,
      hybridClock,
      configStore,
      membership,
      fleet,
      recorder,
      operators: settings.operators,
      getCurrent: configuration.getCurrent,
      onAccepted: configuration.putAcceptedInForce,
      isDraining: () => drain.getPhase() !== "serving",
      isUpstreamLeaving: leaving.isLeaving,
      tryGetNotReady,
      getServed: metrics.getServed,
    }),
  });

  function tryGetNotReady(): string | undefined {
    if (drain.getPhase() !== "serving") return "The host is leaving";
    if (getDeployment() === undefined) return "No configuration is in force";
    return undefined;
  }

  /** The next turn tries again; a failure only shows. */
  function watchPlatform<A>(
    call: Effect.Effect<A, PlatformError>,
  ): Effect.Effect<void> {
    return onPlatformFailure(call, journal.platformFailed);
  }

  const pollMachines = platform.machines.get().pipe(
    Effect.map((machines) => {
      learnListedHosts(membership, machines);
      leaving.receiveList(machines);
    }),
  );

  const watchUpstreams = createUpstreamWatch({
    id: settings.host,
    clock,
    platform,
    recorder,
    logger,
    getOwned: () =>
      (getDeployment()?.upstreams ?? []).filter((upstream) =>
        fleet.getOwner(upstream.id) === settings.host
      ),
    mayGiveOrders: () => drain.getPhase() === "serving",
    onWord: leaving.receiveWord,
    watchPlatform,
  });

  learnSeeds(
    membership,
    settings.seeds.map((seed) => ({ ...seed, address: seed.peerAddress })),
  );
  const tasks = startPeriodicTasks({
    configuration,
    membership,
    fleet,
    backlog: serving.backlog,
    quarantine: serving.quarantine,
    claims: serving.claims,
    taskWatch,
    watchUpstreams,
    pollMachines,
    watchPlatform,
  });
  journal.started(settings.publicAddress, settings.peerAddress);

  return {
    async drain() {
      const result = await Effect.runPromise(drain.run);
      journal.stopped(result);
      return result;
    },
    countInFlight: drain.countInFlight,
    async [Symbol.asyncDispose]() {
      await tasks[Symbol.asyncDispose]();
      flusher[Symbol.dispose]();
      await publicServer[Symbol.asyncDispose]();
      await peerServer[Symbol.asyncDispose]();
      await datagrams[Symbol.asyncDispose]();
    },
  };
}

/** Makes a router over the machine's own clock. */
export function startRouterOnMachine(
  settings: RouterSettings,
  host: Omit<RouterHost, "clock">,
): Promise<Router> {
  return startRouter(settings, { ...host, clock: systemClock });
}
