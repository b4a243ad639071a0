/**
 * Counts crashes by content over the whole fleet, and refuses content that
 * reaches the limit.
 *
 * Load: one request crashes each upstream that runs it, and its caller resends
 * it, each time to another host. Failure prevented: one upstream after another
 * crashes, with all requests that run beside it.
 *
 * The count is stored in a row of the table service, so that it survives the
 * loss of any host, and is gossiped as a fact between hosts, so that no request
 * waits for the table service.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { PlatformError, Row } from "../platform/mod.ts";
import {
  createPartitionRefresh,
  type PartitionRefreshHost,
} from "./partition_refresh.ts";
import {
  CRASH_TABLE,
  createCrashRecords,
  type RecordsHost,
  tryGetUnexpired,
} from "./records.ts";
import { createTrials, type TrialHost } from "./trial.ts";
import {
  CRASH_LIMIT,
  type CrashCircumstances,
  type CrashRecord,
  type Quarantine,
} from "./types.ts";

/** Dependencies of the quarantine, supplied by the process. */
export interface QuarantineHost
  extends RecordsHost, TrialHost, Omit<PartitionRefreshHost, "refresh"> {
  /** Sends the record to all hosts by gossip, which takes seconds. */
  gossip(record: CrashRecord): void;
  /**
   * Sends the record to all hosts directly, within one network latency;
   * datagrams may be lost.
   */
  broadcast(record: CrashRecord): void;
}

/**
 * Time-out for counting in the table service, in ms; after it, only this host's
 * own count is used.
 */
const COUNT_TIMEOUT_MS = 2_000;

/**
 * Time for a broadcast record to reach all hosts, in ms: two and a half times
 * the one-way latency between regions. The record is sent twice, since a
 * datagram can be lost. Without the wait, the caller's resend would reach
 * another host before the record.
 */
const BROADCAST_WAIT_MS = 50;

/**
 * Largest fleet in which a first crash is broadcast, too. The broadcast costs
 * one datagram for each host and each request that ran on the crashed upstream,
 * so larger fleets rely on gossip.
 */
const MAX_BROADCAST_HOSTS = 50;

/** Creates a quarantine without crash records. */
export function createQuarantine(host: QuarantineHost): Quarantine {
  const records = createCrashRecords(host);
  const trials = createTrials(host, records);

  function countInTable(
    fingerprint: string,
    isExclusive: boolean,
    row: Row,
  ): Effect.Effect<CrashRecord | undefined> {
    const stored = tryGetUnexpired(row, host.clock.wallMs());
    const own = records.getCrashes(fingerprint);
    const known = Math.max(stored?.crashes ?? 0, own);
    const record = records.create(fingerprint, getNewCount(known, isExclusive));
    return host.commit.write({
      table: CRASH_TABLE,
      key: fingerprint,
      expectedVersion: row.version,
      value: record,
    }).pipe(Effect.flatMap((result) => {
      switch (result.kind) {
        case "committed":
          return Effect.succeed(record);
        case "conflict":
          return countInTable(fingerprint, isExclusive, result.row);
        case "failed":
          return Effect.succeed(undefined);
      }
    }));
  }

  function recordCrash(
    fingerprint: string,
    options: CrashCircumstances,
  ): Effect.Effect<number> {
    const { isExclusive, isFinal } = options;
    return Effect.gen(function* () {
      const counted = yield* host.tables.get(CRASH_TABLE, fingerprint).pipe(
        Effect.flatMap((row) => countInTable(fingerprint, isExclusive, row)),
        Effect.catchTag("PlatformError", () => Effect.succeed(undefined)),
        Effect.timeoutOrElse({
          duration: COUNT_TIMEOUT_MS,
          orElse: () => Effect.succeed(undefined),
        }),
      );
      const own = getNewCount(records.getCrashes(fingerprint), isExclusive);
      const record = counted ?? records.create(fingerprint, own);
      records.merge(record);
      const isUrgent = isFinal || record.crashes >= CRASH_LIMIT ||
        host.countHosts() <= MAX_BROADCAST_HOSTS;
      if (isUrgent) yield* broadcastTwice(record);
      else host.gossip(record);
      return record.crashes;
    });
  }

  function broadcastTwice(record: CrashRecord): Effect.Effect<void> {
    return Effect.gen(function* () {
      host.broadcast(record);
      yield* Effect.sleep(BROADCAST_WAIT_MS);
      host.broadcast(record);
      yield* Effect.sleep(BROADCAST_WAIT_MS);
    });
  }

  function clear(fingerprint: string): Effect.Effect<void> {
    return Effect.gen(function* () {
      if (records.getCrashes(fingerprint) >= CRASH_LIMIT) return;
      const cleared = records.create(fingerprint, 0);
      records.merge(cleared);
      host.gossip(cleared);
      const row = yield* host.tables.get(CRASH_TABLE, fingerprint);
      const stored = tryGetUnexpired(row, host.clock.wallMs());
      if (stored === undefined || stored.crashes >= CRASH_LIMIT) return;
      yield* remove(row);
    }).pipe(Effect.catchTag("PlatformError", () => Effect.void));
  }

  function remove(row: Row): Effect.Effect<unknown, PlatformError> {
    return host.tables.transact([{
      table: CRASH_TABLE,
      key: row.key,
      expectedVersion: row.version,
      value: null,
    }]);
  }

  const refresh = Effect.gen(function* () {
    records.prune();
    const rows = yield* host.tables.list(CRASH_TABLE, "");
    for (const row of rows) {
      const record = tryGetUnexpired(row, host.clock.wallMs());
      if (record !== undefined) records.merge(record);
      else yield* remove(row);
    }
  }).pipe(Effect.catchTag("PlatformError", () => Effect.void));

  return {
    getCrashes: records.getCrashes,
    isQuarantined: (fingerprint) =>
      records.getCrashes(fingerprint) >= CRASH_LIMIT,
    recordCrash,
    beginTrial: trials.begin,
    endTrial: trials.end,
    refreshIfPartitioned: createPartitionRefresh({ ...host, refresh }),
    clear,
    receiveFact: (value) => records.merge(JSON.parse(value) as CrashRecord),
    refresh,
  };
}

/**
 * Returns the new crash count. Crashes beside other requests count only once,
 * since a harmless request may run beside the crashing one again by chance. A
 * request with exclusive use is the only possible cause.
 */
function getNewCount(known: number, isExclusive: boolean): number {
  return isExclusive ? known + 1 : Math.max(known, 1);
}
