/**
 * One router process: creates its modules, connects them and runs their
 * periodic tasks. Disposing of a router ends its tasks and closes its sockets.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import { createConfigStore, type RouterSettings } from "../config/mod.ts";
import {
  type Clock,
  createHybridClock,
  createOwnedOpener,
  disposeAll,
  getDigest,
  type OpenAddress,
  openAtOnce,
  releaseOnFailure,
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
import { createUnreachableHosts, isCrashFact } from "./crash_facts.ts";
import { createDrain, type DrainResult } from "./drain.ts";
import { createEventReporter } from "./event_reporter.ts";
import { createLeavingUpstreams } from "./leaving_upstreams.ts";
import { createRouterMetrics } from "./metrics.ts";
import { createObservedPlatform } from "./observed_platform.ts";
import { createOperatorHandlers } from "./operator_handlers.ts";
import { startPeriodicTasks } from "./periodic_tasks.ts";
import { listenForCallers } from "./public_server.ts";
import { createRegions } from "./regions.ts";
import { createFlusher, createFlushingSlots } from "./flusher.ts";
import { setSeeds, setSeedsFromList } from "./seeds.ts";
import { createServing } from "./serving.ts";
import { createTaskMonitor } from "./task_monitor.ts";
import { reportPlatformFailure } from "./tasks.ts";
import { createUpstreamReconciliation } from "./upstream_reconciliation.ts";
import { getAdvertisedHosts, serveWhere } from "./serve_where.ts";

/** Dependencies of a router, supplied by its program. */
export interface RouterHost {
  readonly clock: Clock;
  readonly platform: Platform;
  readonly logger: Logger;
  /** Opens an address; at once if absent. */
  readonly open?: OpenAddress;
}

/** A running router. */
export interface Router extends AsyncDisposable {
  /** Refuses new requests and completes the others, up to the drain limit. */
  drain(): Promise<DrainResult>;
  /** Returns the number of incomplete responses. */
  countInFlight(): number;
}

const FLUSH_DELAY_MS = 5;

const TIMELINE_CAPACITY = 20_000;

/**
 * Starts a router. Rejects if an address can't be opened, with those released
 * that were.
 */
export async function startRouter(
  settings: RouterSettings,
  host: RouterHost,
): Promise<Router> {
  return await releaseOnFailure((opened) => openAndRun(settings, host, opened));
}

/** Adds to `opened` what is to be disposed of in the end. */
async function openAndRun(
  settings: RouterSettings,
  host: RouterHost,
  opened: AsyncDisposable[],
): Promise<Router> {
  const { clock, logger } = host;

  const open = createOwnedOpener(host.open ?? openAtOnce, opened);
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
      fleet.slots.getQueues(service).tryGetOldestArrivalMs(),
    getCounter: (service, team) =>
      fleet.getCounters().get(service)?.get(team) ?? 0,
    getMembers: () => membership.getMembers(),
    isReady: () => tryGetNotReadyReason() === undefined,
    nowMs: clock.monotonicMs,
  });
  const fleetToken = getDigest(settings.fleetSecret);
  const bindAddress = settings.peerBindAddress ?? settings.peerAddress;
  const incarnation = Math.floor(clock.wallMs());
  const configStore = createConfigStore(platform);

  const reporter = createEventReporter({ logger, recorder, metrics });
  const taskMonitor = createTaskMonitor({
    clock,
    onFailed: reporter.taskFailed,
  });

  const configuration = createConfiguration({
    clock,
    store: configStore,
    fleetToken,
    getMembership: () => membership,
    onInForce(config) {
      reporter.configInForce(config);
      fleet.reconcile();
    },
    onRefused: reporter.configRefused,
  });
  const getDeployment = () => configuration.getCurrent()?.deployment;
  const regions = createRegions({
    dataCentre: settings.dataCentre,
    getDeployment,
    getMembers: () => membership.getMembers(),
  });

  const leavingUpstreams = createLeavingUpstreams({
    clock,
    gossipFact: (fact) => membership.gossipFact(fact),
    onChange(upstream, isLeaving) {
      reporter.upstreamLeaving(upstream, isLeaving);
      fleet.reconcile();
    },
  });

  const unreachableHosts = createUnreachableHosts(clock);
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
      const crossesRegion = regions.isPeerInOtherRegion(address);
      metrics.addControlBytes("heartbeat", bytes, { crossesRegion });
    },
    random: Math.random,
    onChange(member) {
      unreachableHosts.receive(member);
      reporter.memberChanged(member);
      fleet.reconcile();
    },
    onFact(fact) {
      if (isCrashFact(fact)) serving.quarantine.receiveFact(fact.value);
      else leavingUpstreams.receiveFact(fact);
    },
    onConfigVersion: (version, digest, from) =>
      configuration.receiveAnnouncement({ version, digest }, from),
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
    isUpstreamLeaving: leavingUpstreams.isLeaving,
    policy: defaultFleetPolicy,
    random: Math.random,
    createLink: (address, linkHost) =>
      createPeerLink(address, {
        ...linkHost,
        onOpen() {
          linkHost.onOpen();
          flusher.scheduleFlush();
        },
        onFrame(frame) {
          linkHost.onFrame(frame);
          flusher.scheduleFlush();
        },
      }),
    isDialedBy: (peer) => peerServer.isConnected(peer),
    defer: (run) =>
      queueMicrotask(() => {
        run();
        flusher.scheduleFlush();
      }),
    trySendBack: (peer, frame) => peerServer.trySend(peer, frame),
    onPeerLost: reporter.peerLost,
    onControlSent(kind, bytes, peer) {
      const crossesRegion = regions.isHostInOtherRegion(peer);
      metrics.addControlBytes(kind, bytes, { crossesRegion });
    },
  });

  const drain = createDrain({
    clock,
    sleep: Effect.sleep,
    hasCallers: () => getDeployment() !== undefined,
    announceLeaving: membership.leave,
    getOtherHosts: () =>
      getAdvertisedHosts(membership).map((each) => each.address),
    onPhase: reporter.drainPhase,
  }, settings);

  const flusher = createFlusher({
    flush: fleet.flush,
    hasWaitingRequests: () => serving.backlog.getUse().requests > 0,
  }, FLUSH_DELAY_MS);
  const serving = createServing({
    settings,
    incarnation,
    clock,
    platform,
    recorder,
    reporter,
    metrics,
    regions,
    membership,
    fleet,
    drain,
    slots: createFlushingSlots(fleet.slots, flusher.scheduleFlush),
    getDeployment,
    isAnyHostUnreachable: unreachableHosts.isAnyUnreachable,
  });

  let isListening = false;
  const datagrams = await open(
    `UDP ${bindAddress}`,
    () =>
      openDatagrams(bindAddress, {
        codec: createDatagramCodec(settings.fleetSecret),
        onMessage(message, sender) {
          // A host that answered before all its addresses are open would be
          // named to callers.
          if (isListening) membership.receive(message, sender);
        },
        onFailed: (reason) => reporter.taskFailed("membership", reason),
      }),
  );
  const peerServer = await open(
    `TCP ${bindAddress}`,
    () =>
      listenForPeers(bindAddress, {
        fleetToken,
        onFrame(peer, frame) {
          fleet.receiveFrame(peer, frame);
          flusher.scheduleFlush();
        },
        tryGetConfiguration: configuration.tryEncode,
        countHosts: () => membership.getMembers().length,
      }),
  );
  await open(`TCP ${settings.publicAddress}`, () =>
    listenForCallers({
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
      tryGetNotReadyReason,
      tryGetUnhealthyReason: taskMonitor.tryGetStuckReason,
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
        isUpstreamLeaving: leavingUpstreams.isLeaving,
        tryGetNotReadyReason,
        getServed: metrics.getServed,
      }),
    }));
  isListening = true;

  function tryGetNotReadyReason(): string | undefined {
    if (drain.getPhase() !== "serving") return "The host is leaving";
    if (getDeployment() === undefined) return "No configuration is in force";
    return undefined;
  }

  /** Reports a failure of the platform; the next run of the task retries. */
  function reportFailure<A>(
    call: Effect.Effect<A, PlatformError>,
  ): Effect.Effect<void> {
    return reportPlatformFailure(call, reporter.platformFailed);
  }

  const pollMachines = platform.machines.get().pipe(
    Effect.map((machines) => {
      setSeedsFromList(membership, machines);
      leavingUpstreams.receiveMachineList(machines);
    }),
  );

  const reconcileUpstreams = createUpstreamReconciliation({
    id: settings.host,
    clock,
    platform,
    recorder,
    logger,
    getOwned: () =>
      (getDeployment()?.upstreams ?? []).filter((upstream) =>
        fleet.getOwner(upstream.id) === settings.host
      ),
    maySendOrders: () => drain.getPhase() === "serving",
    onLeavingReport: leavingUpstreams.receiveReport,
    reportFailure,
  });

  setSeeds(
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
    taskMonitor,
    reconcileUpstreams,
    pollMachines,
    reportFailure,
  });
  reporter.started(settings.publicAddress, settings.peerAddress);

  return {
    async drain() {
      const result = await Effect.runPromise(drain.run);
      reporter.stopped(result);
      return result;
    },
    countInFlight: drain.countInFlight,
    async [Symbol.asyncDispose]() {
      await tasks[Symbol.asyncDispose]();
      flusher[Symbol.dispose]();
      await disposeAll(opened);
    },
  };
}

/** Starts a router with the system clock. */
export function startRouterOnMachine(
  settings: RouterSettings,
  host: Omit<RouterHost, "clock">,
): Promise<Router> {
  return startRouter(settings, { ...host, clock: systemClock });
}
