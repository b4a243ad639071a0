/**
 * Assembles one entry host: creates its components, connects them and runs
 * their background tasks. Disposing of the entry host stops the tasks and
 * closes the sockets.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import { createRetryBudget, getFleetRetryOptions } from "../admission/mod.ts";
import {
  createOwnedOpener,
  createStallTolerantClock,
  disposeAll,
  offsetPort,
  openAtOnce,
  PORT_OFFSETS,
  releaseOnFailure,
} from "../core/mod.ts";
import type { Decision } from "../diagnostics/mod.ts";
import {
  createHeldMemory,
  createIncarnationProofs,
  createPipelinedRequests,
  createUpstreamAgent,
  type ForwardHost,
  getMaxHeldBytes,
  getMaxPipelined,
  readReport,
  serve,
  tryConnect,
} from "../forwarding/mod.ts";
import { CRASH_KEY_PREFIX, createCrashWatch } from "../crashes/mod.ts";
import { createHandoff } from "../handoff/mod.ts";
import type { Fact, Member } from "../membership/mod.ts";
import { getNameDigest } from "../peers/mod.ts";
import { createPrefixPlacements } from "../prefixes/mod.ts";
import {
  createStreamVersions,
  STREAM_KEY_PREFIX,
  VERSION_KEY_PREFIX,
} from "../stream_versions/mod.ts";
import { createBackoffWatch, createHealthWatch } from "../upstreams/mod.ts";
import { createCallerServer } from "./caller_server.ts";
import { createEntryQueue } from "./entry_queue.ts";
import { getServingHosts } from "./fleet_size.ts";
import { createFleetLoad } from "./fleet_load.ts";
import { createFullHosts, FULL_KEY_PREFIX } from "./full_hosts.ts";
import { createHealthDecision } from "./health_decision.ts";
import { createHostActivity, getWork } from "./host_activity.ts";
import { createHostWarmUps } from "./host_warm_ups.ts";
import { createIntake } from "./intake.ts";
import { createPassPacing } from "./pass_pacing.ts";
import { createPlatformView } from "./platform_view.ts";
import { getDistance } from "./distance.ts";
import { createDrain } from "./drain.ts";
import { createEventLoopMonitor } from "./event_loop_monitor.ts";
import { openExchanges } from "./exchanges.ts";
import { createMemoryWatch } from "./memory_watch.ts";
import {
  readProcessorMs,
  tryReadMemory,
  tryReadResidentBytes,
} from "./process_use.ts";
import { createEntryMetrics } from "./metrics.ts";
import { openPeers } from "./peers.ts";
import { createHostGrants } from "./host_grants.ts";
import { createHostRegistration } from "./host_registration.ts";
import { getBacklog, getHandoffBacklog, setCallerLimits } from "./servers.ts";
import { openSideServers } from "./side_servers.ts";
import { startTicker } from "./ticker.ts";
import type { EntryHost, EntrySettings } from "./types.ts";

/** A running entry host. */
export interface Entry extends AsyncDisposable {
  /**
   * Stops taking new requests and completes the running ones within the grace
   * period, which counts from when the host was asked to stop: from now if no
   * time is given, in monotonic ms. Returns the number of responses that were
   * cut off.
   */
  drain(
    askedMs?: number,
  ): Promise<{ readonly cut: number; readonly tookMs: number }>;
}

/**
 * Interval of the scheduling passes over the queue, in ms: a sixtieth of a
 * prompt target.
 */
const QUEUE_TICK_MS = 10;

/**
 * Starts an entry host. Its callers' address is opened last, so that none is
 * accepted before all others listen. Rejects if an address can't be opened, with
 * those released that were.
 */
export async function startEntry(
  settings: EntrySettings,
  host: EntryHost,
): Promise<Entry> {
  return await releaseOnFailure((opened) => openAndRun(settings, host, opened));
}

/** Adds to `opened` what is to be disposed of in the end. */
async function openAndRun(
  settings: EntrySettings,
  host: EntryHost,
  opened: AsyncDisposable[],
): Promise<Entry> {
  const { clock, protocol } = host;
  const { peerAddress, retries } = settings;
  const incarnation = Math.floor(clock.wallMs());
  const startedMs = clock.monotonicMs();

  const openAddress = host.open ?? openAtOnce;
  const open = createOwnedOpener(openAddress, opened);

  function log(decision: Decision): void {
    metrics.observeDecision(decision);
    host.log.write(decision);
  }

  function getAlive(): readonly Member[] {
    return peers.membership.getMembers()
      .filter((each) => each.state === "alive");
  }

  /** The hosts that are alive; none unless owners admit prompts. */
  function getGrantingHosts(): readonly Member[] {
    return host.grantsPrompts ? getAlive() : [];
  }

  function getAliveAddresses(): readonly string[] {
    return getAlive().map((each) => each.peerAddress);
  }

  function logFailedTask(task: string): (reason: string) => void {
    return (reason) => log({ event: "task-failed", task, reason });
  }

  function onFact(fact: Fact): void {
    if (fact.key.startsWith(CRASH_KEY_PREFIX)) crashes.receiveFact(fact);
    else if (fact.key.startsWith(FULL_KEY_PREFIX)) fullHosts.receive(fact);
    else if (fact.key.startsWith(VERSION_KEY_PREFIX)) {
      streamVersions.receiveFact(fact);
    } else platformView.receive(fact);
  }

  const stallTolerantClock = createStallTolerantClock(clock);
  const health = createHealthWatch(
    stallTolerantClock,
    (change) => log(createHealthDecision(change)),
  );
  const passPacing = createPassPacing(clock);
  const loopMonitor = createEventLoopMonitor(clock, QUEUE_TICK_MS);
  const fullHosts = createFullHosts({
    clock,
    peerAddress,
    dataCentre: settings.dataCentre,
    incarnation,
  });
  const intake = createIntake({
    clock,
    mayBeFull: () => fullHosts.mayBeFull(getAlive()),
    // What a full host sends elsewhere competes for the upstreams, which only
    // owners share out fairly among hosts.
    getUtilization: () => host.grantsPrompts ? handoff.getUtilization() : 0,
    onDecision({ isFull, meanTurnMs }) {
      peers.membership.broadcastFact(fullHosts.createFact(isFull));
      log({
        event: "intake-changed",
        isFull,
        meanTurnMs: Math.round(meanTurnMs),
      });
    },
  });
  const self = { peerAddress, dataCentre: settings.dataCentre };
  const fleetLoad = createFleetLoad({
    clock,
    stallTolerantClock,
    self,
    grantsPrompts: host.grantsPrompts === true,
    getAlive,
    isUsable: (address) => peers.membership.isUsable(address),
    countListedHosts: () =>
      peers.membership.isJoining() ? peers.countSeeds() : 0,
    tryGetRoutes: () => platformView.tryGetRoutes(),
    directory: {
      tryGet: (id) => platformView.directory.tryGet(id),
      getReady: (service) => platformView.directory.getReady(service),
    },
    log,
  });
  const { load, tree, pacings, upstreamStats, upstreamPacings } = fleetLoad;
  const prefixes = createPrefixPlacements({
    clock,
    self,
    tree,
    getHosts: getAlive,
    getDigest: getNameDigest,
    onRecorded: (source) => metrics.observePlacement(source),
  });
  const { upstreams: grantUpstreams, exchange: grants } = createHostGrants({
    clock,
    load,
    peerAddress,
    session: incarnation >>> 0,
    getGrantingHosts,
    isFull,
    tryGet: (id) => platformView.directory.tryGet(id),
    getMsPerToken: upstreamPacings.getMsPerToken,
    getUpstreamLimitTokens: upstreamPacings.getUpstreamLimitTokens,
    start: (...granted) => queue.startGranted(...granted),
    onEnded: (outcome) => metrics.observeGrant(outcome),
    onFailed: logFailedTask("grants"),
  });
  const queue = createEntryQueue({
    clock,
    load,
    grants: grants.client,
    tryGetUpstream: (id) => platformView.directory.tryGet(id),
    getWarmUpAllowance: (upstream) => warmUps.getAllowance(upstream),
    getLimitTokens: upstreamPacings.getLimitTokens,
    getProcessorUse: () => handoff.getProcessorUse(),
    random: host.random,
  });
  const { cold, warmUps } = createHostWarmUps({
    clock,
    settings,
    startedMs,
    tryGetRoutes: () => platformView.tryGetRoutes(),
    getMembers: () => peers.membership.getMembers(),
    log,
  });
  const crashes = createCrashWatch({
    clock,
    self: peerAddress,
    getHosts: getAliveAddresses,
    sendFacts: (facts, to) => peers.membership.sendFacts(facts, to),
    broadcastFact: (fact) => peers.membership.broadcastFact(fact),
    gossipFact: (fact) => peers.membership.gossipFact(fact),
    tryConnect,
    onAsked: (result) => metrics.observeAsked(result),
    log,
  });
  const streamVersions = createStreamVersions({
    clock,
    self: peerAddress,
    getHosts: getAlive,
    directory: host.platform.versions,
    onRecordFailure: (reason) =>
      log({ event: "platform-lost", table: "versions", reason }),
    random: host.random,
    getTableAgeMs: () => platformView.getInputs().confirmedMsAgo,
    readTable: Effect.suspend(() => platformView.readUpstreams),
    sendFacts: (facts, to) => peers.membership.sendFacts(facts, to),
    broadcastFact: (fact) => peers.membership.broadcastFact(fact),
    gossipFact: (fact) => peers.membership.gossipFact(fact),
  });
  const platformView = createPlatformView({
    clock,
    platform: host.platform,
    peerAddress,
    incarnation,
    random: host.random,
    regions: settings.regions,
    log,
    onUpstreamAdded: (upstream) => crashes.recordRunning(upstream),
    onUpstreamRows(rows) {
      cold.update(rows);
      grantUpstreams.update(rows.map((each) => each.value));
      streamVersions.updateRows(rows.map((each) => each.value));
    },
    onEvacuationEnded: cold.recordEvacuationEnded,
    onPlatformRestored() {
      registration.refresh();
      streamVersions.recordRestore();
    },
    onFetched: (table, outcome) => metrics.observeFetch(table, outcome),
    getHosts: getAliveAddresses,
    broadcastFact: (fact) => peers.membership.broadcastFact(fact),
    gossipFact: (fact) => peers.membership.gossipFact(fact),
    fetchTable: (name, peer) => peers.fetchTable(name, peer),
  });
  const drain = createDrain({
    clock,
    graceMs: settings.stopGraceMs,
    countHandoffs: () => handoff.countInFlight(),
    announceLeaving(endMs) {
      peers.membership.leave();
      handoff.leave(endMs);
    },
    onPhase: (phase, inFlight) =>
      log({ event: "drain-phase", phase, inFlight }),
  });
  const isReady = () =>
    !drain.isDraining() && !intake.isFull() &&
    platformView.tryGetRoutes() !== undefined;
  const requestMemory = createHeldMemory(getMaxHeldBytes(settings.memoryBytes));
  const responseMemory = createHeldMemory(
    getMaxHeldBytes(settings.memoryBytes),
  );
  const getHeld = () => ({
    requestBytes: requestMemory.countBytes(),
    responseBytes: responseMemory.countBytes(),
    connections: callers.countConnections(),
    inFlight: drain.countInFlight(),
  });
  const memoryWatch = createMemoryWatch({
    clock,
    limitBytes: settings.memoryBytes,
    tryReadResidentBytes,
    tryReadMemory,
    getHeld,
    onChanged: (state) => log({ event: "memory-changed", ...state }),
  });
  const metrics = createEntryMetrics({
    countConnections: () => callers.countConnections(),
    memoryLimitBytes: settings.memoryBytes,
    tryReadMemory,
    getHeld,
    getConfigVersion: () => platformView.getInputs().configVersion,
    getQueued: queue.getCount,
    countInFlight: drain.countInFlight,
    countAliveHosts: () => getAlive().length,
    getLoadCoverage: load.getCoverage,
    countEvacuated: () => platformView.getEvacuated().size,
    countColdUpstreams: cold.count,
    getUnreadMs: loopMonitor.getUnreadMs,
    getReadingLimits: upstreamPacings.getLimits,
    getUpstreamWeights: upstreamPacings.getWeights,
    countHandoffs: () => handoff.countOpen(),
    countPrefixes: prefixes.count,
    countGrantRequests: grants.countWaiting,
    isReady,
  });
  const peers = await openPeers(settings, {
    clock,
    incarnation,
    random: host.random,
    onMemberChanged: (member) =>
      log({
        event: "member-changed",
        member: member.host,
        state: member.state,
        incarnation: member.incarnation,
      }),
    onFact,
    onDirectFact(fact) {
      if (fact.key.startsWith(CRASH_KEY_PREFIX)) crashes.receiveReport(fact);
      else if (fact.key.startsWith(STREAM_KEY_PREFIX)) {
        streamVersions.receiveDirectFact(fact);
      }
    },
    tryGetTable: (name) => platformView.tryGetTable(name),
    onFailed: logFailedTask("membership"),
    open: openAddress,
  });
  opened.push(peers);
  peers.setSeeds(settings.seeds);

  const agent = createUpstreamAgent();
  const forwardHost: ForwardHost = {
    clock,
    startedMs,
    codec: protocol.calls,
    agent,
    directory: platformView.directory,
    markLeaving: platformView.markLeaving,
    queue,
    load,
    getPacing: upstreamPacings.getRecorder,
    getPrefillMsPerToken: (service) => pacings.get(service).getMsPerToken(),
    getWeight: upstreamPacings.getWeight,
    prefixes,
    health,
    backoffs: createBackoffWatch(clock),
    crashes,
    streamVersions,
    incarnations: createIncarnationProofs({
      clock,
      readReport: (address) =>
        readReport({ agent, codec: protocol.calls }, address),
      log,
    }),
    retryBudget: createRetryBudget(
      clock,
      getFleetRetryOptions(
        retries,
        () => getServingHosts(peers.membership.getMembers()).length,
      ),
    ),
    requestMemory,
    responseMemory,
    tryGetRoutes: platformView.tryGetRoutes,
    getRegion: (dataCentre) => settings.regions.get(dataCentre),
    getEvacuated: platformView.getEvacuated,
    warmUps,
    recordWarmUp: cold.recordStated,
    getDistance: (dataCentre) => getDistance(settings, dataCentre),
    isOverloaded: loopMonitor.isOverloaded,
    getTurnOverrunMs: loopMonitor.getTurnOverrunMs,
    getUnreadMs: loopMonitor.getUnreadMs,
    getStalledMs: loopMonitor.getStalledMs,
    mayStartRequest: (req, deadlineMs) =>
      drain.mayStartRequest(deadlineMs) && handoff.lasts(req, deadlineMs),
    onEnding(req, run) {
      const own = drain.onEnding(run);
      const relayed = handoff.onEnding(req, run);
      return {
        [Symbol.dispose]() {
          own[Symbol.dispose]();
          relayed?.[Symbol.dispose]();
        },
      };
    },
    tryGetRelay: (req) => handoff.tryGetRelay(req),
    getInputs: platformView.getInputs,
    log,
    onRequestEnded(end) {
      metrics.observeEnd(end);
      activity.count(getWork(end));
    },
    random: host.random,
  };

  const handoff = createHandoff({
    clock,
    self: peerAddress,
    incarnation,
    maxFds: settings.maxFds,
    random: host.random,
    getUnreadMs: loopMonitor.getUnreadMs,
    readLoopTimes: host.readLoopTimes ?? performance.eventLoopUtilization,
    getAliveHosts: () =>
      getAlive()
        .filter((each) => each.dataCentre === settings.dataCentre)
        .map((each) => each.peerAddress),
    isFull: fullHosts.isFull,
    isDraining: drain.isDraining,
    isConfigured: () => platformView.tryGetRoutes() !== undefined,
    serve: (socket) => callers.serve(socket),
    onAsked(outcome) {
      metrics.observeHandoff(outcome);
      if (outcome === "taken") activity.count("handedOff");
    },
    onReceived(outcome) {
      metrics.observeReceived(outcome);
      if (outcome === "taken") activity.count("received");
    },
    onAbandoned: () => activity.count("abandoned"),
    onReturned: metrics.observeReturned,
    log,
  });
  const activity = createHostActivity({
    clock,
    readProcessorMs,
    getUtilization: () => handoff.getProcessorUse().utilization,
    onActivity: (done) => log({ event: "processor-used", ...done }),
  });
  const logServerError = logFailedTask("server");
  const handoffBacklog = getHandoffBacklog(settings.processorShare);
  const pipelined = createPipelinedRequests({
    maxWaiting: getMaxPipelined(settings.memoryBytes),
    pauseReading: () => callers.pauseReading(),
    onDropped: (waiting) => log({ event: "pipeline-dropped", waiting }),
  });
  const callers = createCallerServer({
    onRequest(req, res) {
      if (!pipelined.accept(req, res)) return;
      if (!handoff.acceptRequest(req, res)) return;
      drain.track(res);
      serve(forwardHost, req, res);
    },
    onConnection(socket) {
      activity.count("accepted");
      handoff.offer(socket);
    },
    backlog: getBacklog(settings.processorShare),
    onError: logServerError,
  });
  opened.push(callers, handoff);
  await openAddress(
    `TCP ${offsetPort(peerAddress, PORT_OFFSETS.handoffs)}`,
    handoff.listen,
  );
  await openSideServers({
    settings,
    protocol,
    metrics: host.metrics,
    renderMetrics: metrics.render,
    isReady,
    getMembers: peers.membership.getMembers,
    isFull,
    tryGetRoutes: platformView.tryGetRoutes,
    onError: logServerError,
    open,
  });

  function isFull(member: Member): boolean {
    return member.peerAddress === peerAddress
      ? intake.isFull()
      : fullHosts.isFull(member.peerAddress);
  }

  function measureIterations(): void {
    stallTolerantClock.tick();
    loopMonitor.tick();
    intake.tick();
    handoff.tick();
    activity.tick();
    memoryWatch.tick();
  }

  /**
   * Runs a scheduling pass and applies the configured time-outs for callers.
   * Runs in each tick, because the waiting prompts change with elapsed time
   * too.
   */
  function decide(): void {
    grants.tick();
    passPacing.run(queue.tick);
    crashes.tick();
    streamVersions.tick();
    const served = load.takeDueServiceTotals();
    if (served.length > 0) {
      const coverage = load.getCoverage();
      log({ event: "service-counted", teams: served, coverage });
    }
    const limits = platformView.tryGetRoutes()?.config.callerLimits;
    if (limits !== undefined) setCallerLimits(callers.server, limits);
    // Before the other hosts are known it is not known whether there are any.
    if (handoff.hasEnoughHosts()) callers.lengthenBacklog(handoffBacklog);
  }

  const registration = createHostRegistration({
    directory: host.platform.hosts,
    peerAddress,
    seeds: settings.seeds,
    setSeeds: peers.setSeeds,
    isAlone: () => getAlive().length <= 1,
    random: host.random,
    onFailure: (reason) =>
      log({ event: "platform-lost", table: "hosts", reason }),
  });
  const exchangeTasks = await openExchanges({
    self,
    clock: stallTolerantClock,
    load,
    tree,
    upstreamStats,
    onStatsRound: upstreamPacings.update,
    announcer: prefixes.announcer,
    getHosts: getAlive,
    logFailedTask,
    open,
  });
  opened.push(grants);
  await openAddress(
    `UDP ${offsetPort(peerAddress, PORT_OFFSETS.grants)}`,
    grants.open,
  );
  await openAddress(
    `TCP ${settings.callerAddress}`,
    () => callers.listen(settings.callerAddress),
  );
  const tasks = [
    ...exchangeTasks,
    peers.run,
    platformView.run,
    registration.run,
    streamVersions.run,
  ]
    .map((task) => Effect.runFork(task));
  const ticker = startTicker(QUEUE_TICK_MS, {
    measure: measureIterations,
    decide: () => activity.measurePass(decide),
  });
  log({
    event: "started",
    tookMs: Math.round(clock.monotonicMs() - startedMs),
    name: settings.name,
    incarnation,
    callers: settings.callerAddress,
    peers: peerAddress,
  });

  return {
    async drain(askedMs = clock.monotonicMs()) {
      // A signal may have waited as long as anything else that is read now.
      const arrivedMs = askedMs - loopMonitor.getUnreadMs();
      Effect.runFork(registration.remove);
      const result = await Effect.runPromise(drain.run(arrivedMs));
      handoff.cutRelays();
      log({ event: "stopped", ...result });
      return result;
    },
    async [Symbol.asyncDispose]() {
      ticker[Symbol.dispose]();
      streamVersions[Symbol.dispose]();
      for (const task of tasks) await Effect.runPromise(Fiber.interrupt(task));
      await disposeAll(opened);
      agent.destroy();
    },
  };
}
