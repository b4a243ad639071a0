/**
 * A fake of the platform's tables for entry hosts, in virtual time. It can
 * reject hosts, leave their calls unanswered, pause its watches, drop its
 * history, and restore itself from an older backup.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import { type Clock, getDigest } from "../core/mod.ts";
import {
  type EntryPlatform,
  type OperatorRow,
  TABLE_NAMES,
  type TableChange,
  type TableName,
  type TableRow,
  type TableSnapshot,
  type TableSource,
  type UpstreamEntry,
} from "../discovery/mod.ts";
import { TableError } from "../discovery/types.ts";
import { createFakeVersionDirectory } from "./fake_version_directory.ts";
import {
  createRoute,
  createRoutingConfig,
  createUpstreamEntry,
} from "./routing_fixture.ts";

/** How the platform handles a host's calls. */
export type Treatment = "served" | "slow" | "refused" | "silent";

/** The platform with the controls of a test. */
export interface FakeTables {
  /** Writes a configuration with that many routes, 1 if absent. */
  putConfig(version: number, routes?: number): void;
  /** Replaces the registered upstreams. */
  putUpstreams(ids: readonly string[], softwareVersion?: string): void;
  /** Registers one more upstream. */
  addUpstream(id: string, softwareVersion: string): void;
  removeUpstream(id: string): void;
  setTreatment(host: string, treatment: Treatment): void;
  /** Sets how the platform handles the host's calls for this table. */
  setTableTreatment(host: string, table: TableName, treatment: Treatment): void;
  /** Watches report no change until the time given, in ms. */
  pauseWatchesUntil(ms: number): void;
  /** Watches from an older version fail, since the history is lost. */
  dropHistory(): void;
  /** Restores the state of `ms` milliseconds ago, with the next era. */
  restoreBackup(ms: number): void;
  /**
   * Number of reads of tables by all hosts so far, with those that got no
   * response.
   */
  countCalls(): number;
  /** Creates the host's client of the platform. */
  createPlatform(host: string): EntryPlatform;
}

interface FakeTable<T> {
  changedVersion: number;
  rows: readonly TableRow<T>[];
  /** Keys of all rows that were ever written. */
  readonly keys: Set<string>;
}

/** All tables at one point in time. */
interface Snapshot {
  readonly atMs: number;
  readonly version: number;
  readonly config: FakeTable<OperatorRow>;
  readonly upstreams: FakeTable<UpstreamEntry>;
}

/** Interval at which a watch checks for changes, in ms. */
const WATCH_POLL_MS = 10;

/** Time, besides a watch's wait, after which an unanswered call times out. */
const RESPONSE_TIMEOUT_MS = 700;

/** Duration of a call to the platform, in ms. */
const CALL_DURATION_MS = 5;
const SLOW_CALL_DURATION_MS = 200;

/** Creates a platform that serves all hosts and has no rows. */
export function createFakeTables(clock: Clock): FakeTables {
  const treatments: Readonly<Record<TableName, Map<string, Treatment>>> = {
    config: new Map(),
    upstreams: new Map(),
  };
  const config: FakeTable<OperatorRow> = {
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

  /** The platform has one version, which all tables share. */
  function setRows<T>(
    table: FakeTable<T>,
    rows: readonly TableRow<T>[],
  ): void {
    table.changedVersion = version;
    table.rows = rows;
    for (const { key } of rows) table.keys.add(key);
    takeSnapshot();
  }

  /** An existing row keeps the version at which it was written. */
  function getOrCreateRow(
    id: string,
    softwareVersion: string,
  ): TableRow<UpstreamEntry> {
    const existing = upstreams.rows.find((each) => each.key === id);
    const value = createUpstreamEntry({ id, softwareVersion });
    return existing ?? { key: id, version, value };
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
        const reason = "The history is lost";
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

  const recorded = createFakeVersionDirectory();

  function fail(afterMs: number, reason: Treatment) {
    const err = new TableError({ kind: "unreachable", reason });
    return Effect.sleep(afterMs).pipe(Effect.andThen(Effect.fail(err)));
  }

  /**
   * Handles a call by the host's treatment at its beginning; a host that is cut
   * off meanwhile gets no answer.
   */
  function call<A>(
    host: string,
    table: TableName,
    options: {
      readonly waitMs: number;
      readonly answer: Effect.Effect<A, TableError>;
    },
  ): Effect.Effect<A, TableError> {
    return Effect.suspend(() => {
      const treatment = treatments[table].get(host) ?? "served";
      if (treatment === "served" || treatment === "slow") {
        const durationMs = treatment === "slow"
          ? SLOW_CALL_DURATION_MS
          : CALL_DURATION_MS;
        return Effect.sleep(durationMs).pipe(
          Effect.andThen(options.answer),
          Effect.tap(() =>
            treatments[table].get(host) === "silent"
              ? fail(RESPONSE_TIMEOUT_MS, "silent")
              : Effect.void
          ),
        );
      }
      const afterMs = treatment === "refused"
        ? CALL_DURATION_MS
        : options.waitMs + RESPONSE_TIMEOUT_MS;
      return fail(afterMs, treatment);
    });
  }

  /** Calls that concern the record of versions. */
  function callRecord<A>(
    host: string,
    answer: Effect.Effect<A, TableError>,
  ): Effect.Effect<A, TableError> {
    return call(host, "upstreams", { waitMs: 0, answer });
  }

  function createTable<T>(
    host: string,
    name: TableName,
    table: FakeTable<T>,
  ): TableSource<T> {
    const countCall = Effect.sync(() => void calls++);
    return {
      read: () =>
        Effect.andThen(
          countCall,
          call(host, name, { waitMs: 0, answer: read(table) }),
        ),
      pollChanges: (after, waitMs) =>
        Effect.andThen(
          countCall,
          call(host, name, {
            waitMs,
            answer: pollChanges(table, after, waitMs),
          }),
        ),
    };
  }

  return {
    putConfig(next, routeCount = 1) {
      const routes = Array.from(
        { length: routeCount },
        (_, at) => createRoute({ name: getDigest(`route ${at}`).slice(0, 8) }),
      );
      const value = createRoutingConfig({ version: next, routes });
      version++;
      setRows(config, [{
        key: "config",
        version,
        value: { kind: "configuration", config: value },
      }]);
    },
    putUpstreams(ids, softwareVersion = "v1") {
      version++;
      setRows(upstreams, ids.map((id) => getOrCreateRow(id, softwareVersion)));
    },
    addUpstream(id, softwareVersion) {
      version++;
      const added = getOrCreateRow(id, softwareVersion);
      setRows(upstreams, [...upstreams.rows, added]);
    },
    removeUpstream(id) {
      version++;
      setRows(upstreams, upstreams.rows.filter((each) => each.key !== id));
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
      versions: {
        read: () => callRecord(host, recorded.read()),
        add: (each) => callRecord(host, recorded.add(each)),
        remove: (each) => callRecord(host, recorded.remove(each)),
      },
    }),
  };
}
