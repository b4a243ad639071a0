/**
 * One entry host's process: makes the parts, joins them and runs their tasks.
 * Disposing of it ends its tasks and closes its sockets.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import { createRetryBudget, getFleetOptions } from "../admission/mod.ts";
import { createWorkingClock, getOrCreate } from "../core/mod.ts";
import type { Decision } from "../diagnostics/mod.ts";
import {
  CRASH_KEY_PREFIX,
  createCrashWatch,
  createUpstreamAgent,
  type ForwardHost,
  serve,
} from "../forwarding/mod.ts";
import { createLoadView } from "../load/mod.ts";
import type { Fact, Member } from "../membership/mod.ts";
import { getNameDigest } from "../peers/mod.ts";
import { createPacing, type Pacing, type PacingChange } from "../pacing/mod.ts";
import type { Distance } from "../placement/mod.ts";
import { createPromptQueue } from "../queue/mod.ts";
import { createBackoffWatch, createHealthWatch } from "../upstreams/mod.ts";
import { chooseAddresses } from "./caller_addresses.ts";
import { openLoadExchange } from "./load_exchange.ts";
import { createFullHosts, FULL_KEY } from "./full_hosts.ts";
import { createIntake } from "./intake.ts";
import { createKnowledge } from "./knowledge.ts";
import { createLeaving } from "./leaving.ts";
import { createLoopWatch } from "./loop_watch.ts";
import { createEntryMetrics } from "./metrics.ts";
import { openPeers } from "./peers.ts";
import { followHostDirectory } from "./host_directory.ts";
import {
  createMetricsListener,
  createReadinessListener,
  createResolveListener,
  getBacklog,
  listen,
  setCallerLimits,
} from "./servers.ts";
import { startTicker } from "./ticker.ts";
import type { EntryHost, EntrySettings } from "./types.ts";

/** A running entry host. */
export interface Entry extends AsyncDisposable {
  /** Takes no new work and ends what it has, within the grace. */
  leave(): Promise<{ readonly cut: number; readonly tookMs: number }>;
}

/** Callers ask again after so long, in ms: hosts come and go within seconds. */
const RESOLVE_TTL_MS = 2_000;

/** Waiting prompts are looked at so often, in ms: a sixtieth of a target. */
const QUEUE_TICK_MS = 10;

/** Of a service whose prompts' route has just been removed, in ms. */
const NO_TARGET_MS = 1_000;

/** Starts an entry host; rejects when an address is taken. */
export async function startEntry(
  settings: EntrySettings,
  host: EntryHost,
): Promise<Entry> {
  const { clock, protocol } = host;
  const { peerAddress, retries } = settings;
  const incarnation = Math.floor(clock.wallMs());
  const startedMs = clock.monotonicMs();

  function log(decision: Decision): void {
    metrics.observeDecision(decision);
    host.log.write(decision);
  }

  function logLimit(service: string, change: PacingChange): void {
    log({
      event: "reading-limit-changed",
      service,
      limitTokens: Math.round(change.limitTokens),
      inTimeTokens: Math.round(change.inTimeTokens),
      lateShare: Number(change.lateShare.toFixed(3)),
    });
  }

  function getAlive(): readonly Member[] {
    return peers.membership.getMembers()
      .filter((each) => each.state === "alive");
  }

  function onFact(fact: Fact): void {
    if (fact.key.startsWith(CRASH_KEY_PREFIX)) crashes.receive(fact);
    else if (fact.key.startsWith(FULL_KEY)) fullHosts.receive(fact);
    else knowledge.receive(fact);
  }

  const workingClock = createWorkingClock(clock);
  const health = createHealthWatch(workingClock);
  const loop = createLoopWatch(clock, QUEUE_TICK_MS);
  const fullHosts = createFullHosts({
    clock,
    peerAddress,
    dataCentre: settings.dataCentre,
    incarnation,
  });
  const intake = createIntake({
    clock,
    mayRest: () => fullHosts.mayRest(getAlive()),
    onFull({ isFull, meanTurnMs }) {
      peers.membership.pushFact(fullHosts.createFact(isFull));
      log({
        event: "intake-changed",
        isFull,
        meanTurnMs: Math.round(meanTurnMs),
      });
    },
  });
  const load = createLoadView({
    clock: workingClock,
    getDigest: getNameDigest,
    isAlive: (address) => peers.membership.isUsable(address),
    getStatedCapacity: () =>
      knowledge.tryGetRoutes()?.config.tokensPerSecond ?? 0,
    getLearned: () =>
      [...pacings].map(([service, pacing]) => ({
        ...pacing.getStats(),
        service: getNameDigest(service),
      })),
  });
  const pacings = new Map<string, Pacing>();
  const getPacing = (service: string) =>
    getOrCreate(
      pacings,
      service,
      () =>
        createPacing({
          nowMs: clock.monotonicMs,
          getRemoteStats: () => load.getOthersLearned(service),
          onChanged: (change) => logLimit(service, change),
        }),
    );
  function getLimitTokens(service: string): number {
    const targetMs = knowledge.tryGetRoutes()?.tryGetPromptTargetMs(service);
    return getPacing(service).getLimitTokens(targetMs ?? NO_TARGET_MS);
  }

  const queue = createPromptQueue({
    nowMs: clock.monotonicMs,
    getLoad: (upstream) => ({
      slots: knowledge.directory.getSlots(upstream),
      inFlight: load.getInFlight(upstream),
      readingTokens: load.getReadingTokens(upstream),
      underservedElsewhere: load.getUnderservedElsewhere(upstream),
    }),
    getShareUsed: load.getShareUsed,
    isAhead: load.isAhead,
    isUnderserved: load.isUnderserved,
    onUnderservedWaiting: load.setUnderserved,
    getMeanYield: load.getMeanYield,
    getLimitTokens,
    random: host.random,
    onStart(prompt, upstream, readingTokens) {
      load.beginReading(upstream, readingTokens);
      load.noteBegun(prompt.team, prompt.size);
    },
  });
  const crashes = createCrashWatch({
    clock,
    broadcastFact: (fact) => peers.membership.pushFact(fact),
    onSuspected: (fingerprint, count) =>
      log({
        event: "content-suspected",
        fingerprint,
        crashes: count,
        request: undefined,
      }),
  });
  const knowledge = createKnowledge({
    clock,
    platform: host.platform,
    peerAddress,
    incarnation,
    random: host.random,
    log,
    onPlatformReturned: () => directory.refresh(),
    onFetched: (table, outcome) => metrics.observeFetch(table, outcome),
    getHosts: () => getAlive().map((each) => each.peerAddress),
    pushFact: (fact) => peers.membership.pushFact(fact),
    spreadFact: (fact) => peers.membership.spreadFact(fact),
    fetchTable: (name, peer) => peers.fetchTable(name, peer),
  });
  const leaving = createLeaving({
    clock,
    graceMs: settings.stopGraceMs,
    leave: () => peers.membership.leave(),
    onPhase: (phase, inFlight) =>
      log({ event: "drain-phase", phase, inFlight }),
  });
  const isReady = () =>
    !leaving.isLeaving() && !intake.isFull() &&
    knowledge.tryGetRoutes() !== undefined;
  const metrics = createEntryMetrics({
    getConfigVersion: () => knowledge.getInputs().configVersion,
    getQueued: queue.getCount,
    countInFlight: leaving.countInFlight,
    countAliveHosts: () => getAlive().length,
    getUnreadMs: loop.getUnreadMs,
    getReadingLimits: () =>
      [...pacings.keys()].map((service) => ({
        service,
        tokens: getLimitTokens(service),
      })),
    isReady,
  });
  const peers = await openPeers(settings, {
    clock,
    incarnation,
    random: host.random,
    onMember: (member) =>
      log({
        event: "member-changed",
        member: member.host,
        state: member.state,
        incarnation: member.incarnation,
      }),
    onFact,
    tryGetTable: (name) => knowledge.tryGetTable(name),
    onFailed: (reason) =>
      log({ event: "task-failed", task: "membership", reason }),
  });
  peers.setSeeds(settings.seeds);

  function getDistance(dataCentre: string): Distance {
    if (dataCentre === settings.dataCentre) return "same-data-centre";
    const { regions } = settings;
    const isNear = regions.get(dataCentre) === regions.get(settings.dataCentre);
    return isNear ? "same-region" : "other-region";
  }

  const agent = createUpstreamAgent();
  const forwardHost: ForwardHost = {
    clock,
    startedMs,
    codec: protocol.calls,
    agent,
    directory: knowledge.directory,
    markLeaving: knowledge.noteLeaving,
    queue,
    load,
    getPacing,
    health,
    backoffs: createBackoffWatch(clock),
    crashes,
    retryBudget: createRetryBudget(
      clock,
      getFleetOptions(retries, () => getAlive().length),
    ),
    tryGetRoutes: knowledge.tryGetRoutes,
    getDistance,
    isOverloaded: loop.isBehind,
    getTurnOverrunMs: loop.getTurnMs,
    getUnreadMs: loop.getUnreadMs,
    mayStartRequest: leaving.mayStart,
    getInputs: knowledge.getInputs,
    log,
    onRequestEnded: metrics.observeEnd,
    random: host.random,
  };

  const callers = await listen(
    settings.callerAddress,
    (req, res) => {
      leaving.track(res);
      serve(forwardHost, req, res);
    },
    getBacklog(settings.processorShare),
  );
  const readiness = await listen(
    settings.readinessAddress,
    createReadinessListener(protocol, isReady),
  );
  const resolve = await listen(
    settings.resolveAddress,
    createResolveListener(protocol, {
      ttlMs: Math.min(RESOLVE_TTL_MS, settings.maxResolveTtlMs),
      getAddresses: (query) =>
        chooseAddresses({
          query,
          members: peers.membership.getMembers(),
          isFull,
          getRegion: (dataCentre) => settings.regions.get(dataCentre),
        }),
    }),
  );
  function isFull(member: Member): boolean {
    return member.peerAddress === peerAddress
      ? intake.isFull()
      : fullHosts.isFull(member.peerAddress);
  }

  const servers = [callers, readiness, resolve];
  if (host.metrics !== undefined) {
    const { port, path } = host.metrics;
    const [ip] = settings.callerAddress.split(":");
    servers.push(
      await listen(
        `${ip}:${port}`,
        createMetricsListener(path, metrics.render),
      ),
    );
  }

  function watch(): void {
    workingClock.tick();
    loop.tick();
    intake.tick();
  }

  /** Prompts wait for time to pass as well as for events. */
  function decide(): void {
    queue.tick();
    const limits = knowledge.tryGetRoutes()?.config.callerLimits;
    if (limits !== undefined) setCallerLimits(callers.server, limits);
  }

  const directory = followHostDirectory({
    directory: host.platform.hosts,
    peerAddress,
    seeds: settings.seeds,
    setSeeds: peers.setSeeds,
    isAlone: () => getAlive().length <= 1,
    random: host.random,
    onFailure: (reason) =>
      log({ event: "platform-lost", table: "hosts", reason }),
  });
  const exchange = await openLoadExchange({
    clock: workingClock,
    self: { peerAddress, dataCentre: settings.dataCentre },
    view: load,
    getHosts: getAlive,
  });
  const tasks = [
    exchange.run,
    peers.run,
    knowledge.run,
    directory.run,
  ]
    .map((task) => Effect.runFork(task));
  const ticker = startTicker(QUEUE_TICK_MS, { watch, decide });
  log({
    event: "started",
    name: settings.name,
    incarnation,
    callers: settings.callerAddress,
    peers: peerAddress,
  });

  return {
    async leave() {
      Effect.runFork(directory.remove);
      const result = await Effect.runPromise(leaving.run);
      log({ event: "stopped", ...result });
      return result;
    },
    async [Symbol.asyncDispose]() {
      ticker[Symbol.dispose]();
      for (const task of tasks) await Effect.runPromise(Fiber.interrupt(task));
      for (const server of servers) await server[Symbol.asyncDispose]();
      agent.destroy();
      await exchange[Symbol.asyncDispose]();
      await peers[Symbol.asyncDispose]();
    },
  };
}
