/**
 * Entry hosts with the real knowledge of the platform's tables, in virtual time.
 * Hosts can be killed and started again, cut from one another, and lose a part of
 * their datagrams.
 *
 * @module
 */

import { setImmediate } from "node:timers/promises";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as TestClock from "effect/testing/TestClock";
import type { Decision } from "../diagnostics/mod.ts";
import {
  createPlatformView,
  type FetchOutcome,
  type PlatformView,
} from "../entry/platform_view.ts";
import { createVirtualScheduler } from "../measure/virtual_scheduler.ts";
import { createRandom } from "../measure/random.ts";
import type { Fact } from "../membership/mod.ts";
import {
  createFakeTables,
  type FakeTables,
  type Treatment,
} from "./fake_tables.ts";

/** A logged decision and its host. */
export interface FleetLine {
  readonly host: string;
  readonly decision: Decision;
}

/** What a fleet is made of. */
export interface FleetOptions {
  readonly hosts: number;
  readonly seed?: number;
  /** False: each host knows only what the platform tells it. */
  readonly isPassingOn?: boolean;
}

/** The fleet. */
export interface KnowledgeFleet {
  readonly tables: FakeTables;
  /** Peer addresses. */
  readonly hosts: readonly string[];
  nowMs(): number;
  /** How the hosts' fetches from one another ended. */
  readonly fetches: readonly FetchOutcome[];
  /** What the hosts have logged, in order. */
  readonly logged: readonly FleetLine[];
  /** What the host knows; `undefined` while it is down. */
  tryGetKnowledge(host: string): PlatformView | undefined;
  /** Configuration in force at each host that is up; 0 for none. */
  getVersions(): readonly number[];
  run(ms: number): Effect.Effect<void>;
  /** Starts the host anew, knowing nothing. */
  startHost(host: string): Effect.Effect<void>;
  killHost(host: string): Effect.Effect<void>;
  /** Starts all hosts. */
  readonly start: Effect.Effect<void>;
  /** Cuts the host from all others, or ends that. */
  cut(host: string, isCut: boolean): void;
  /** Share of the datagrams that is lost from now on. */
  loseDatagrams(share: number): void;
  treatAll(treatment: Treatment): void;
}

/** From one host to another, between regions, in ms. */
const LINK_MS = 20;

/** Until a host that is gone no longer counts as alive at the others, in ms. */
const DETECT_MS = 800;

/** Until a fetch from a host that does not answer is given up, in ms. */
const FETCH_LIMIT_MS = 1_500;

const STEP_MS = 10;

interface Life {
  readonly knowledge: PlatformView;
  readonly fiber: Fiber.Fiber<never>;
}

/** Makes the fleet, no host started; give effects that use it to `runFleet`. */
export function createKnowledgeFleet(options: FleetOptions): KnowledgeFleet {
  const { seed = 1, isPassingOn = true } = options;
  const agenda = createVirtualScheduler();
  const { clock } = agenda;
  const nowMs = clock.monotonicMs;
  const tables = createFakeTables(clock);
  const hosts = Array.from(
    { length: options.hosts },
    (_, at) => `10.0.0.${at + 1}:1`,
  );
  const linkRandom = createRandom(seed);
  const lives = new Map<string, Life>();
  const lostSinceMs = new Map<string, number>();
  const cutSinceMs = new Map<string, number>();
  const fetches: FetchOutcome[] = [];
  const logged: FleetLine[] = [];
  let incarnations = 0;
  let lostShare = 0;

  const isConnected = (from: string, to: string) =>
    lives.has(to) && !cutSinceMs.has(from) && !cutSinceMs.has(to);

  const isLongAgo = (sinceMs: number | undefined) =>
    sinceMs !== undefined && nowMs() - sinceMs > DETECT_MS;

  /** Hosts that are alive as far as the host knows, itself included. */
  function getAlive(host: string): readonly string[] {
    const isAlone = isLongAgo(cutSinceMs.get(host));
    return hosts.filter((each) =>
      each === host ||
      !isAlone && !isLongAgo(cutSinceMs.get(each)) &&
        !isLongAgo(lostSinceMs.get(each))
    );
  }

  /** To all other hosts, one link later. */
  function push(from: string, fact: Fact): void {
    if (!isPassingOn) return;
    for (const to of hosts) {
      if (to === from || linkRandom() < lostShare) continue;
      agenda.after(LINK_MS, () => {
        if (isConnected(from, to)) lives.get(to)!.knowledge.receive(fact);
      });
    }
  }

  function fetchTable(
    host: string,
    peer: string,
    name: string,
  ): Promise<Uint8Array | undefined> {
    return new Promise((resolve) => {
      const answer = () =>
        resolve(lives.get(peer)?.knowledge.tryGetTable(name));
      if (isConnected(host, peer)) agenda.after(2 * LINK_MS, answer);
      else agenda.after(FETCH_LIMIT_MS, () => resolve(undefined));
    });
  }

  function createHost(host: string): PlatformView {
    const send = (fact: Fact) => push(host, fact);
    incarnations++;
    return createPlatformView({
      clock,
      platform: tables.createPlatform(host),
      peerAddress: host,
      incarnation: incarnations,
      random: createRandom(seed * 1_000 + incarnations),
      log: (decision) => logged.push({ host, decision }),
      onFetched: (_, outcome) => fetches.push(outcome),
      onPlatformRestored: () => {},
      getHosts: () => getAlive(host),
      broadcastFact: send,
      gossipFact: send,
      fetchTable: (name, peer) => fetchTable(host, peer, name),
    });
  }

  function startHost(host: string): Effect.Effect<void> {
    return Effect.gen(function* () {
      const knowledge = createHost(host);
      lostSinceMs.delete(host);
      const fiber = yield* Effect.forkDetach(knowledge.run);
      lives.set(host, { knowledge, fiber });
    });
  }

  function killHost(host: string): Effect.Effect<void> {
    return Effect.suspend(() => {
      const life = lives.get(host);
      if (life === undefined) return Effect.void;
      lives.delete(host);
      lostSinceMs.set(host, nowMs());
      return Fiber.interrupt(life.fiber).pipe(Effect.asVoid);
    });
  }

  const step = Effect.suspend(() => {
    agenda.runUntil(nowMs() + STEP_MS);
    return TestClock.adjust(STEP_MS);
  }).pipe(
    // Fetched tables arrive as promises.
    Effect.andThen(Effect.promise(() => setImmediate())),
  );

  return {
    tables,
    hosts,
    nowMs,
    fetches,
    logged,
    tryGetKnowledge: (host) => lives.get(host)?.knowledge,
    getVersions: () =>
      [...lives.values()]
        .map(({ knowledge }) => knowledge.getInputs().configVersion),
    run: (ms) => Effect.repeat(step, { times: Math.ceil(ms / STEP_MS) - 1 }),
    startHost,
    killHost,
    start: Effect.forEach(hosts, startHost, { discard: true }),
    cut(host, isCut) {
      if (!isCut) cutSinceMs.delete(host);
      else if (!cutSinceMs.has(host)) cutSinceMs.set(host, nowMs());
    },
    loseDatagrams: (share) => lostShare = share,
    treatAll(treatment) {
      for (const host of hosts) tables.treat(host, treatment);
    },
  };
}

/** Runs the effect in virtual time. */
export function runFleet(
  effect: Effect.Effect<void>,
): Promise<void> {
  return Effect.runPromise(effect.pipe(Effect.provide(TestClock.layer())));
}
