/**
 * Entry hosts with real views of the platform's tables, in virtual time. Hosts
 * can be killed and restarted, partitioned from one another, and lose a share
 * of their datagrams.
 *
 * @module
 */

import { setImmediate } from "node:timers/promises";
import { gzipSync } from "node:zlib";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as TestClock from "effect/testing/TestClock";
import { type Clock, getOrCreate } from "../core/mod.ts";
import type { Decision } from "../diagnostics/mod.ts";
import {
  createPlatformView,
  type PlatformView,
} from "../entry/platform_view.ts";
import type { FetchedTable, FetchOutcome } from "../entry/table_copies.ts";
import { createVirtualScheduler } from "../measure/virtual_scheduler.ts";
import { createRandom } from "../measure/random.ts";
import type { Fact } from "../membership/mod.ts";
import {
  createStreamVersions,
  type StreamVersions,
  VERSION_KEY_PREFIX,
} from "../stream_versions/mod.ts";
import {
  createFakeTables,
  type FakeTables,
  type Treatment,
} from "./fake_tables.ts";

/** A logged decision and the host that logged it. */
export interface LoggedDecision {
  readonly host: string;
  readonly decision: Decision;
}

/** Size and behaviour of a fleet. */
export interface FleetOptions {
  readonly hosts: number;
  readonly seed?: number;
  /** Whether hosts distribute tables to one another; default true. */
  readonly distributesTables?: boolean;
  /**
   * Rate of the link over which all copies of tables pass, in bytes per ms;
   * unlimited if absent.
   */
  readonly linkBytesPerMs?: number;
}

/** Entry hosts with a fake platform, in virtual time. */
export interface PlatformViewFleet {
  readonly tables: FakeTables;
  /** Peer addresses. */
  readonly hosts: readonly string[];
  nowMs(): number;
  /** Outcomes of the hosts' fetches from one another. */
  readonly fetches: readonly FetchOutcome[];
  /** Decisions that the hosts have logged, in order. */
  readonly loggedDecisions: readonly LoggedDecision[];
  /** The host's view of the tables; `undefined` while the host is down. */
  tryGetView(host: string): PlatformView | undefined;
  /** Configuration version in force at each running host; 0 for none. */
  getVersions(): readonly number[];
  /** Advances the virtual time, in ms. */
  run(ms: number): Effect.Effect<void>;
  /** Starts the host with an empty view. */
  startHost(host: string): Effect.Effect<void>;
  killHost(host: string): Effect.Effect<void>;
  /** Starts all hosts. */
  readonly start: Effect.Effect<void>;
  /** Begins or ends a partition of the host from all others. */
  setPartitioned(host: string, isPartitioned: boolean): void;
  /** Begins or ends a partition of these hosts from all others. */
  setCut(hosts: readonly string[], isCut: boolean): void;
  /**
   * Begins or ends that the host stands still, as if suspended: its clock doesn't
   * count the time, and what is sent to it waits.
   */
  setSuspended(host: string, isSuspended: boolean): void;
  isSuspended(host: string): boolean;
  /** The versions of streams at the host; `undefined` while it is down. */
  tryGetStreams(host: string): StreamVersions | undefined;
  /** Sets whether a host's fetch of a table from a peer gets no answer. */
  setFetchLoss(
    isLost: (host: string, peer: string, table: string) => boolean,
  ): void;
  /** Sets the share of datagrams that are lost from now on. */
  setDatagramLoss(rate: number): void;
  treatAll(treatment: Treatment): void;
}

/** Latency between two hosts of different regions, in ms. */
const LINK_LATENCY_MS = 20;

/** Time until the other hosts consider an unreachable host dead, in ms. */
const FAILURE_DETECTION_MS = 800;

/** Time-out of a fetch from a host that does not respond, in ms. */
const FETCH_TIMEOUT_MS = 1_500;

const STEP_MS = 10;

interface RunningHost {
  readonly view: PlatformView;
  readonly streams: StreamVersions;
  readonly fiber: Fiber.Fiber<unknown>;
}

/**
 * Creates a fleet in which no host has started. Effects that use the fleet run
 * in `runFleet`.
 */
export function createPlatformViewFleet(
  options: FleetOptions,
): PlatformViewFleet {
  const { seed = 1, distributesTables = true } = options;
  const { linkBytesPerMs = Infinity } = options;
  const scheduler = createVirtualScheduler();
  const { clock } = scheduler;
  const nowMs = clock.monotonicMs;
  const tables = createFakeTables(clock);
  const hosts = Array.from(
    { length: options.hosts },
    (_, at) => `10.0.0.${at + 1}:1`,
  );
  const lossRandom = createRandom(seed);
  const runningHosts = new Map<string, RunningHost>();
  const killedSinceMs = new Map<string, number>();
  const isolatedSinceMs = new Map<string, number>();
  const fetches: FetchOutcome[] = [];
  const loggedDecisions: LoggedDecision[] = [];
  let lastIncarnation = 0;
  let lossRate = 0;
  let isFetchLost = (_host: string, _peer: string, _table: string) => false;
  const sentBytes = new Map<Uint8Array, number>();
  /** When the link has sent all copies that it was given. */
  let linkFreeMs = 0;

  /** The hosts that are cut off together. */
  const cut = new Set<string>();
  let cutSinceMs: number | undefined;
  const suspendedSinceMs = new Map<string, number>();
  const suspendedMs = new Map<string, number>();
  const waiting = new Map<string, (() => void)[]>();

  const isConnected = (from: string, to: string) =>
    runningHosts.has(from) && runningHosts.has(to) &&
    !suspendedSinceMs.has(from) && !suspendedSinceMs.has(to) &&
    !isolatedSinceMs.has(from) && !isolatedSinceMs.has(to) &&
    cut.has(from) === cut.has(to);

  /** Delivers what is sent; to a host that stands still, once it goes on. */
  function deliver(from: string, to: string, receive: () => void): void {
    if (from === to || lossRandom() < lossRate) return;
    scheduler.after(LINK_LATENCY_MS, () => {
      if (suspendedSinceMs.has(to)) {
        getOrCreate(waiting, to, (): (() => void)[] => []).push(receive);
      } else if (isConnected(from, to)) receive();
    });
  }

  const isLongAgo = (sinceMs: number | undefined) =>
    sinceMs !== undefined && nowMs() - sinceMs > FAILURE_DETECTION_MS;

  /** Hosts that the host considers alive, including itself. */
  function getAlive(host: string): readonly string[] {
    const isCutOff = (each: string) =>
      cut.has(each) !== cut.has(host) && isLongAgo(cutSinceMs);
    const isIsolated = isLongAgo(isolatedSinceMs.get(host));
    return hosts.filter((each) =>
      each === host ||
      !isIsolated && !isLongAgo(isolatedSinceMs.get(each)) &&
        !isLongAgo(killedSinceMs.get(each)) && !isCutOff(each) &&
        !isLongAgo(suspendedSinceMs.get(each))
    );
  }

  /** Sends the fact to all other hosts, which receive it one latency later. */
  function broadcast(from: string, fact: Fact): void {
    if (!distributesTables) return;
    for (const to of hosts) {
      deliver(from, to, () => {
        const { view, streams } = runningHosts.get(to)!;
        if (fact.key.startsWith(VERSION_KEY_PREFIX)) streams.receiveFact(fact);
        else view.receive(fact);
      });
    }
  }

  function sendFacts(from: string, to: string, facts: readonly Fact[]): void {
    deliver(from, to, () => {
      facts.forEach((each) =>
        runningHosts.get(to)!.streams.receiveDirectFact(each)
      );
    });
  }

  /** A clock that doesn't count the time in which the host stood still. */
  function createHostClock(host: string): Clock {
    const getStoodMs = () =>
      (suspendedMs.get(host) ?? 0) +
      (nowMs() - (suspendedSinceMs.get(host) ?? nowMs()));
    return {
      monotonicMs: () => nowMs() - getStoodMs(),
      wallMs: clock.wallMs,
    };
  }

  /** Peers compress copies; here at once, as no virtual time passes meanwhile. */
  function getSentBytes(content: Uint8Array): number {
    return getOrCreate(sentBytes, content, () => gzipSync(content).length);
  }

  /** Sends bytes over the link; returns the time until they have passed. */
  function send(bytes: number): number {
    linkFreeMs = Math.max(linkFreeMs, nowMs()) + bytes / linkBytesPerMs;
    return linkFreeMs - nowMs();
  }

  function fetchTable(
    host: string,
    peer: string,
    name: string,
  ): Promise<FetchedTable | undefined> {
    return new Promise((resolve) => {
      scheduler.after(FETCH_TIMEOUT_MS, () => resolve(undefined));
      if (!isConnected(host, peer) || isFetchLost(host, peer, name)) return;
      scheduler.after(2 * LINK_LATENCY_MS, () => {
        if (!isConnected(host, peer)) return;
        const content = runningHosts.get(peer)?.view.tryGetTable(name);
        if (content === undefined) return resolve(undefined);
        const bytes = getSentBytes(content);
        scheduler.after(
          send(bytes),
          () => resolve({ content, sentBytes: bytes }),
        );
      });
    });
  }

  function createHost(host: string): Omit<RunningHost, "fiber"> {
    const send = (fact: Fact) => broadcast(host, fact);
    const hostClock = createHostClock(host);
    const platform = tables.createPlatform(host);
    lastIncarnation++;
    const streams: StreamVersions = createStreamVersions({
      clock: hostClock,
      self: host,
      getHosts: () =>
        getAlive(host).map((each) => ({
          peerAddress: each,
          dataCentre: "lagos-ikeja",
        })),
      directory: platform.versions,
      onRecordFailure: () => {},
      random: createRandom(seed * 2_000 + lastIncarnation),
      getTableAgeMs: () => view.getInputs().confirmedMsAgo,
      readTable: Effect.suspend(() => view.readUpstreams),
      sendFacts: (facts, to) => sendFacts(host, to, facts),
      broadcastFact: send,
      gossipFact: send,
    });
    const view: PlatformView = createPlatformView({
      regions: new Map([["lagos-ikeja", "lagos"]]),
      onUpstreamRows: (rows) =>
        streams.updateRows(rows.map((each) => each.value)),
      onEvacuationEnded: () => {},
      clock: hostClock,
      platform,
      peerAddress: host,
      incarnation: lastIncarnation,
      random: createRandom(seed * 1_000 + lastIncarnation),
      log: (decision) => loggedDecisions.push({ host, decision }),
      onFetched: (_, outcome) => fetches.push(outcome),
      onPlatformRestored: () => {},
      onUpstreamAdded: () => {},
      getHosts: () => getAlive(host),
      broadcastFact: send,
      gossipFact: send,
      fetchTable: (name, peer) => fetchTable(host, peer, name),
    });
    return { view, streams };
  }

  function startHost(host: string): Effect.Effect<void> {
    return Effect.gen(function* () {
      const { view, streams } = createHost(host);
      killedSinceMs.delete(host);
      const fiber = yield* Effect.forkDetach(
        Effect.all([view.run, streams.run], { concurrency: "unbounded" }),
      );
      runningHosts.set(host, { view, streams, fiber });
    });
  }

  function killHost(host: string): Effect.Effect<void> {
    return Effect.suspend(() => {
      const running = runningHosts.get(host);
      if (running === undefined) return Effect.void;
      runningHosts.delete(host);
      killedSinceMs.set(host, nowMs());
      return Fiber.interrupt(running.fiber).pipe(Effect.asVoid);
    });
  }

  const step = Effect.suspend(() => {
    scheduler.runUntil(nowMs() + STEP_MS);
    for (const [host, { streams }] of runningHosts) {
      if (!suspendedSinceMs.has(host)) streams.tick();
    }
    return TestClock.adjust(STEP_MS);
  }).pipe(
    // Fetched tables arrive as promises, which need the event loop to settle.
    Effect.andThen(Effect.promise(() => setImmediate())),
  );

  return {
    tables,
    hosts,
    nowMs,
    fetches,
    loggedDecisions,
    tryGetView: (host) => runningHosts.get(host)?.view,
    getVersions: () =>
      [...runningHosts.values()]
        .map(({ view }) => view.getInputs().configVersion),
    run: (ms) => Effect.repeat(step, { times: Math.ceil(ms / STEP_MS) - 1 }),
    startHost,
    killHost,
    start: Effect.forEach(hosts, startHost, { discard: true }),
    setPartitioned(host, isPartitioned) {
      if (!isPartitioned) isolatedSinceMs.delete(host);
      else if (!isolatedSinceMs.has(host)) isolatedSinceMs.set(host, nowMs());
    },
    setCut(names, isCut) {
      cutSinceMs = isCut ? nowMs() : undefined;
      cut.clear();
      if (isCut) names.forEach((each) => cut.add(each));
    },
    setSuspended(host, isSuspended) {
      const sinceMs = suspendedSinceMs.get(host);
      if (isSuspended) {
        suspendedSinceMs.set(host, sinceMs ?? nowMs());
        tables.setTreatment(host, "silent");
      } else if (sinceMs !== undefined) {
        const stoodMs = (suspendedMs.get(host) ?? 0) + nowMs() - sinceMs;
        suspendedMs.set(host, stoodMs);
        suspendedSinceMs.delete(host);
        tables.setTreatment(host, "served");
        const late = waiting.get(host) ?? [];
        waiting.delete(host);
        scheduler.after(STEP_MS, () => late.forEach((each) => each()));
      }
    },
    isSuspended: (host) => suspendedSinceMs.has(host),
    tryGetStreams: (host) => runningHosts.get(host)?.streams,
    setFetchLoss(isLost) {
      isFetchLost = isLost;
    },
    setDatagramLoss: (rate) => lossRate = rate,
    treatAll(treatment) {
      for (const host of hosts) tables.setTreatment(host, treatment);
    },
  };
}

/** Runs the effect in virtual time. */
export function runFleet(
  effect: Effect.Effect<void>,
): Promise<void> {
  return Effect.runPromise(effect.pipe(Effect.provide(TestClock.layer())));
}
