/**
 * The platform's tables as entry hosts find them: it can turn hosts away, keep
 * silent to them, keep its watches silent, drop its history, and come back from an
 * older copy. In virtual time.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { Clock } from "../core/mod.ts";
import {
  type EntryPlatform,
  TABLE_NAMES,
  type TableChange,
  type TableName,
  type TableRow,
  type TableSnapshot,
  type TableSource,
  type UpstreamEntry,
} from "../discovery/mod.ts";
import { TableError } from "../discovery/types.ts";
import type { RoutingConfig } from "../routing/mod.ts";
import { createRoutingConfig, createUpstreamEntry } from "./routing_fixture.ts";

/** How the platform treats a host. */
export type Treatment = "served" | "refused" | "silent";

/** The platform as tests set it. */
export interface FakeTables {
  /** Puts a configuration in place, as operators do. */
  putConfig(version: number): void;
  /** Replaces the upstreams that are registered. */
  putUpstreams(ids: readonly string[]): void;
  setTreatment(host: string, treatment: Treatment): void;
  /** As the platform treats a host that asks for this table. */
  setTableTreatment(host: string, table: TableName, treatment: Treatment): void;
  /** Watches hear nothing until the time given, in ms. */
  pauseWatchesUntil(ms: number): void;
  /** Watches from an older version are told that the history is gone. */
  dropHistory(): void;
  /** Comes back as it was so long ago, in ms, with the next era. */
  restoreBackup(ms: number): void;
  /** Calls of all hosts so far, those without an answer included. */
  countCalls(): number;
  /** The platform as the host finds it. */
  createPlatform(host: string): EntryPlatform;
}

interface FakeTable<T> {
  changedVersion: number;
  rows: readonly TableRow<T>[];
  /** Of all rows that ever were. */
  readonly keys: Set<string>;
}

/** All tables as of a moment. */
interface Snapshot {
  readonly atMs: number;
  readonly version: number;
  readonly config: FakeTable<RoutingConfig>;
  readonly upstreams: FakeTable<UpstreamEntry>;
}

/** Step in which a watch looks for news, in ms. */
const WATCH_POLL_MS = 10;

/** Time after which a client gives a silent platform up, besides its wait. */
const RESPONSE_TIMEOUT_MS = 700;

/** A call to the platform, in ms. */
const CALL_DURATION_MS = 5;

/** Makes a platform that serves all hosts and has no rows. */
export function createFakeTables(clock: Clock): FakeTables {
  const treatments: Readonly<Record<TableName, Map<string, Treatment>>> = {
    config: new Map(),
    upstreams: new Map(),
  };
  const config: FakeTable<RoutingConfig> = {
    changedVersion: 0,
    rows: [],
    keys: new Set(),
  };
  const upstreams: FakeTable<UpstreamEntry> = {
    changedVersion: 0,
    rows: [],
    keys: new Set(),
  };
  const snapshots: Snapshot[] = [];
  let era = 1;
  let version = 1;
  let oldestVersion = 0;
  let pausedUntilMs = 0;
  let calls = 0;

  function takeSnapshot(): void {
    snapshots.push({
      atMs: clock.monotonicMs(),
      version,
      config: { ...config },
      upstreams: { ...upstreams },
    });
  }

  /** Both tables count by the platform's one version. */
  function setRows<T>(
    table: FakeTable<T>,
    rows: readonly TableRow<T>[],
  ): void {
    table.changedVersion = version;
    table.rows = rows;
    for (const { key } of rows) table.keys.add(key);
    takeSnapshot();
  }

  /** A row that is there stays as it was written. */
  function getOrCreateRow(id: string): TableRow<UpstreamEntry> {
    const existing = upstreams.rows.find((each) => each.key === id);
    return existing ?? { key: id, version, value: createUpstreamEntry({ id }) };
  }

  function getRemoved<T>(table: FakeTable<T>): readonly string[] {
    const present = new Set(table.rows.map((row) => row.key));
    return [...table.keys].filter((key) => !present.has(key));
  }

  function read<T>(table: FakeTable<T>): Effect.Effect<TableSnapshot<T>> {
    return Effect.sync(() => ({ era, version, rows: table.rows }));
  }

  function pollChanges<T>(
    table: FakeTable<T>,
    after: number,
    waitMs: number,
  ): Effect.Effect<TableChange<T>, TableError> {
    return Effect.suspend(() => {
      const isPaused = clock.monotonicMs() < pausedUntilMs;
      if (!isPaused && (after < oldestVersion || after > version)) {
        const reason = "The history is gone";
        return Effect.fail(new TableError({ kind: "history-lost", reason }));
      }
      const hasChanges = !isPaused && table.changedVersion > after;
      if (hasChanges || waitMs <= 0) {
        return Effect.succeed({
          era,
          version: isPaused ? after : version,
          changed: hasChanges ? table.rows : [],
          removed: hasChanges ? getRemoved(table) : [],
        });
      }
      return Effect.sleep(WATCH_POLL_MS).pipe(
        Effect.andThen(pollChanges(table, after, waitMs - WATCH_POLL_MS)),
      );
    });
  }

  /** A call by the host, as it is treated when the call begins. */
  function call<A>(
    host: string,
    table: TableName,
    options: {
      readonly waitMs: number;
      readonly answer: Effect.Effect<A, TableError>;
    },
  ): Effect.Effect<A, TableError> {
    return Effect.suspend(() => {
      calls++;
      const treatment = treatments[table].get(host) ?? "served";
      if (treatment === "served") {
        return Effect.sleep(CALL_DURATION_MS).pipe(
          Effect.andThen(options.answer),
        );
      }
      const afterMs = treatment === "refused"
        ? CALL_DURATION_MS
        : options.waitMs + RESPONSE_TIMEOUT_MS;
      const err = new TableError({ kind: "unreachable", reason: treatment });
      return Effect.sleep(afterMs).pipe(Effect.andThen(Effect.fail(err)));
    });
  }

  function createTable<T>(
    host: string,
    name: TableName,
    table: FakeTable<T>,
  ): TableSource<T> {
    return {
      read: () => call(host, name, { waitMs: 0, answer: read(table) }),
      pollChanges: (after, waitMs) =>
        call(host, name, { waitMs, answer: pollChanges(table, after, waitMs) }),
    };
  }

  return {
    putConfig(next) {
      const value = createRoutingConfig({ version: next });
      version++;
      setRows(config, [{ key: "config", version, value }]);
    },
    putUpstreams(ids) {
      version++;
      setRows(upstreams, ids.map(getOrCreateRow));
    },
    setTreatment(host, treatment) {
      for (const name of TABLE_NAMES) treatments[name].set(host, treatment);
    },
    setTableTreatment: (host, table, treatment) =>
      void treatments[table].set(host, treatment),
    pauseWatchesUntil: (ms) => pausedUntilMs = ms,
    dropHistory: () => oldestVersion = version,
    restoreBackup(ms) {
      const untilMs = clock.monotonicMs() - ms;
      const old = snapshots.findLast((each) => each.atMs <= untilMs);
      if (old === undefined) return;
      snapshots.length = snapshots.indexOf(old) + 1;
      era++;
      oldestVersion = 0;
      version = old.version;
      Object.assign(config, old.config);
      Object.assign(upstreams, old.upstreams);
    },
    countCalls: () => calls,
    createPlatform: (host) => ({
      config: createTable(host, "config", config),
      upstreams: createTable(host, "upstreams", upstreams),
      hosts: {
        read: () => Effect.succeed([]),
        add: () => Effect.void,
        remove: () => Effect.void,
      },
    }),
  };
}
