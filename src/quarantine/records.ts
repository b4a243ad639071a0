/**
 * The records that one host knows, from its own runs, other hosts and the table
 * service.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import type { Clock } from "../core/mod.ts";
import type { Row } from "../platform/mod.ts";
import { CRASH_LIMIT, type CrashRecord } from "./types.ts";

/** The table of the records; its keys are fingerprints. */
export const CRASH_TABLE = "crashes";

/** A suspect that did not crash again is forgotten after so long, in ms. */
export const SUSPECT_RETENTION_MS = 10 * 60_000;

/** Quarantined content may be tried again after so long, in ms. */
export const QUARANTINE_RETENTION_MS = 24 * 3_600_000;

/** What the records need of the process. */
export interface RecordsHost {
  readonly clock: Clock;
  /** Called once when a content reaches the limit, as far as known here. */
  onQuarantined(record: CrashRecord): void;
}

/** The records that one host knows. */
export interface CrashRecords {
  tryGet(fingerprint: string): CrashRecord | undefined;
  getCrashes(fingerprint: string): number;
  /** Takes in a record; a count never goes down, but to 0 for a suspect. */
  merge(record: CrashRecord): void;
  /** Makes a record with the time after which it is forgotten. */
  create(fingerprint: string, crashes: number): CrashRecord;
  /** Forgets what has expired. */
  prune(): void;
}

/** Makes an empty set of records. */
export function createCrashRecords(host: RecordsHost): CrashRecords {
  const records = new Map<string, CrashRecord>();

  function tryGet(fingerprint: string): CrashRecord | undefined {
    const record = records.get(fingerprint);
    if (record === undefined) return undefined;
    if (record.expiresMs > host.clock.wallMs()) return record;
    records.delete(fingerprint);
    return undefined;
  }

  function getCrashes(fingerprint: string): number {
    return tryGet(fingerprint)?.crashes ?? 0;
  }

  return {
    tryGet,
    getCrashes,
    merge(record) {
      const known = getCrashes(record.fingerprint);
      if (record.crashes === 0) {
        // Cleared; yet a quarantine is lifted by its expiry alone.
        if (known < CRASH_LIMIT) records.delete(record.fingerprint);
        return;
      }
      if (record.crashes < known) return;
      records.set(record.fingerprint, record);
      if (known < CRASH_LIMIT && record.crashes >= CRASH_LIMIT) {
        host.onQuarantined(record);
      }
    },
    create(fingerprint, crashes) {
      const retentionMs = crashes >= CRASH_LIMIT
        ? QUARANTINE_RETENTION_MS
        : SUSPECT_RETENTION_MS;
      const expiresMs = host.clock.wallMs() + retentionMs;
      return { fingerprint, crashes, expiresMs, writeId: randomUUID() };
    },
    prune() {
      for (const fingerprint of [...records.keys()]) tryGet(fingerprint);
    },
  };
}

/** The record of a row; `undefined` for none and for one that has expired. */
export function tryGetUnexpired(
  row: Row,
  wallMs: number,
): CrashRecord | undefined {
  const record = row.value as CrashRecord | null;
  return record !== null && record.expiresMs > wallMs ? record : undefined;
}
