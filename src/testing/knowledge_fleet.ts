/**
 * Entry hosts with the real knowledge of the platform's tables, before a platform
 * that can turn hosts away, keep its watches silent and drop its history, in
 * virtual time.
 *
 * @module
 */

import { setImmediate } from "node:timers/promises";
import * as Effect from "effect/Effect";
import * as TestClock from "effect/testing/TestClock";
import type { Decision } from "../diagnostics/mod.ts";
import {
  TABLE_NAMES,
  type TableChange,
  type TableName,
  type TableRow,
  type TableState,
  type UpstreamEntry,
  type WatchedTable,
} from "../discovery/mod.ts";
import { TableError } from "../discovery/types.ts";
import {
  createKnowledge,
  type FetchOutcome,
  type Knowledge,
} from "../entry/knowledge.ts";
import type { Fact } from "../membership/mod.ts";
import type { RoutingConfig } from "../routing/mod.ts";
import { createAgenda } from "../measure/agenda.ts";
import { createRandom } from "../measure/random.ts";
import { createRoutingConfig, createUpstreamEntry } from "./routing_fixture.ts";

/** How the platform treats a host. */
export type Treatment = "served" | "refused" | "silent";

/** The platform as tests set it. */
export interface FakeTables {
  /** Puts a configuration in place, as operators do. */
  put(version: number): void;
  /** Replaces the upstreams that are registered. */
  putUpstreams(ids: readonly string[]): void;
  treat(host: string, treatment: Treatment): void;
  /** As the platform treats a host that asks for this table. */
  treatTable(host: string, table: TableName, treatment: Treatment): void;
  treatAll(treatment: Treatment): void;
  /** Watches hear nothing until the time given, in ms. */
  silenceUntil(ms: number): void;
  /** Watches from an older version are told that the history is gone. */
  dropHistory(): void;
}

/** A logged decision and its host. */
export interface FleetLine {
  readonly host: string;
  readonly decision: Decision;
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
  /** Configuration in force at each host; 0 for none. */
  getVersions(): readonly number[];
  run(ms: number): Effect.Effect<void>;
  /** Starts all hosts. */
  readonly start: Effect.Effect<void>;
}

interface FakeTable<T> {
  changedVersion: number;
  rows: readonly TableRow<T>[];
}

/** From one host to another, between regions, in ms. */
const LINK_MS = 20;

const STEP_MS = 10;

/** Time after which a client gives a silent platform up, besides its wait. */
const ANSWER_LIMIT_MS = 700;

/** A call to the platform, in ms. */
const CALL_MS = 5;

/**
 * Makes so many hosts; give the effects that use them to `runFleet`. Without
 * passing on, each knows only what the platform tells it.
 */
export function createKnowledgeFleet(
  count: number,
  isPassingOn = true,
): KnowledgeFleet {
  const agenda = createAgenda();
  const { clock } = agenda;
  const hosts = Array.from({ length: count }, (_, at) => `10.0.0.${at + 1}:1`);
  const fetches: FetchOutcome[] = [];
  const logged: FleetLine[] = [];
  const treatments: Readonly<Record<TableName, Map<string, Treatment>>> = {
    config: new Map(),
    upstreams: new Map(),
  };
  let version = 1;
  let keptFrom = 0;
  let silentUntilMs = 0;
  const config: FakeTable<RoutingConfig> = { changedVersion: 0, rows: [] };
  const upstreams: FakeTable<UpstreamEntry> = { changedVersion: 0, rows: [] };

  /** Replaces the rows; both tables count by the platform's one version. */
  function putRows<T>(
    table: FakeTable<T>,
    values: ReadonlyMap<string, T>,
  ): void {
    version++;
    table.changedVersion = version;
    table.rows = [...values]
      .map(([key, value]) => ({ key, version, value }));
  }

  function read<T>(table: FakeTable<T>): Effect.Effect<TableState<T>> {
    return Effect.sync(() => ({ version, rows: table.rows }));
  }

  function follow<T>(
    table: FakeTable<T>,
    after: number,
    waitMs: number,
  ): Effect.Effect<TableChange<T>, TableError> {
    return Effect.suspend(() => {
      const isSilent = clock.monotonicMs() < silentUntilMs;
      if (!isSilent && after < keptFrom) {
        const reason = "The history is gone";
        return Effect.fail(new TableError({ kind: "history-lost", reason }));
      }
      const hasNews = !isSilent && table.changedVersion > after;
      if (hasNews || waitMs <= 0) {
        const changed = hasNews ? table.rows : [];
        return Effect.succeed({
          version: isSilent ? after : version,
          changed,
          removed: [],
        });
      }
      return Effect.sleep(STEP_MS).pipe(
        Effect.andThen(follow(table, after, waitMs - STEP_MS)),
      );
    });
  }

  /** The platform as the host finds it. */
  function treat<A>(
    host: string,
    table: TableName,
    waitMs: number,
    call: Effect.Effect<A, TableError>,
  ): Effect.Effect<A, TableError> {
    return Effect.suspend(() => {
      const treatment = treatments[table].get(host) ?? "served";
      if (treatment === "served") {
        return Effect.sleep(CALL_MS).pipe(Effect.andThen(call));
      }
      const afterMs = treatment === "refused"
        ? CALL_MS
        : waitMs + ANSWER_LIMIT_MS;
      const err = new TableError({ kind: "unreachable", reason: treatment });
      return Effect.sleep(afterMs).pipe(Effect.andThen(Effect.fail(err)));
    });
  }

  function createTable<T>(
    host: string,
    name: TableName,
    table: FakeTable<T>,
  ): WatchedTable<T> {
    return {
      read: () => treat(host, name, 0, read(table)),
      follow: (after, waitMs) =>
        treat(host, name, waitMs, follow(table, after, waitMs)),
    };
  }

  function treatHost(host: string, treatment: Treatment): void {
    for (const name of TABLE_NAMES) treatments[name].set(host, treatment);
  }

  const knowledges = new Map<string, Knowledge>();

  /** To all other hosts, one link later. */
  function push(from: string, fact: Fact): void {
    if (!isPassingOn) return;
    for (const [host, knowledge] of knowledges) {
      if (host !== from) agenda.after(LINK_MS, () => knowledge.receive(fact));
    }
  }

  hosts.forEach((peerAddress, at) => {
    const send = (fact: Fact) => push(peerAddress, fact);
    const knowledge = createKnowledge({
      clock,
      platform: {
        config: createTable(peerAddress, "config", config),
        upstreams: createTable(peerAddress, "upstreams", upstreams),
        hosts: {
          read: () => Effect.succeed([]),
          add: () => Effect.void,
          remove: () => Effect.void,
        },
      },
      peerAddress,
      incarnation: 1,
      random: createRandom(at + 1),
      log: (decision) => logged.push({ host: peerAddress, decision }),
      onFetched: (_, outcome) => fetches.push(outcome),
      getHosts: () => hosts,
      pushFact: send,
      spreadFact: send,
      fetchTable: (name, peer) =>
        Promise.resolve(knowledges.get(peer)!.tryGetTable(name)),
    });
    knowledges.set(peerAddress, knowledge);
  });

  const step = Effect.suspend(() => {
    agenda.runUntil(clock.monotonicMs() + STEP_MS);
    return TestClock.adjust(STEP_MS);
  }).pipe(
    // Fetched tables arrive as promises.
    Effect.andThen(Effect.promise(() => setImmediate())),
  );

  return {
    hosts,
    fetches,
    logged,
    tables: {
      put(next) {
        const value = createRoutingConfig({ version: next });
        putRows(config, new Map([["config", value]]));
      },
      putUpstreams(ids) {
        const entries = ids.map((id) => createUpstreamEntry({ id }));
        putRows(upstreams, new Map(entries.map((each) => [each.id, each])));
      },
      treat: treatHost,
      treatTable: (host, table, treatment) =>
        void treatments[table].set(host, treatment),
      treatAll(treatment) {
        for (const host of hosts) treatHost(host, treatment);
      },
      silenceUntil: (ms) => silentUntilMs = ms,
      dropHistory: () => keptFrom = version,
    },
    nowMs: clock.monotonicMs,
    getVersions: () =>
      [...knowledges.values()].map((each) => each.getInputs().configVersion),
    run: (ms) => Effect.repeat(step, { times: Math.ceil(ms / STEP_MS) - 1 }),
    start: Effect.forEach(
      knowledges.values(),
      (each) => Effect.forkDetach(each.run),
      { discard: true },
    ),
  };
}

/** Runs the effect in virtual time. */
export function runFleet(
  effect: Effect.Effect<void>,
): Promise<void> {
  return Effect.runPromise(effect.pipe(Effect.provide(TestClock.layer())));
}
