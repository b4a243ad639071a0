/**
 * The crash records that one host knows: from its own requests, from other
 * hosts and from the table service.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import type { Clock } from "../core/mod.ts";
import type { Row } from "../platform/mod.ts";
import { CRASH_LIMIT, type CrashRecord } from "./types.ts";

/** Table of the crash records; its keys are content fingerprints. */
export const CRASH_TABLE = "crashes";

/** How long content stays a suspect without another crash, in ms. */
export const SUSPECT_RETENTION_MS = 10 * 60_000;

/** How long content stays in quarantine, in ms. */
export const QUARANTINE_RETENTION_MS = 24 * 3_600_000;

/** Dependencies of the crash records, supplied by the process. */
export interface RecordsHost {
  readonly clock: Clock;
  /** Called when a record first reaches the crash limit at this host. */
  onQuarantined(record: CrashRecord): void;
}

/** The records that one host knows. */
export interface CrashRecords {
  tryGet(fingerprint: string): CrashRecord | undefined;
  getCrashes(fingerprint: string): number;
  /**
   * Merges a record. A count never decreases, except to 0 when a suspect is
   * cleared.
   */
  merge(record: CrashRecord): void;
  /** Creates a record that expires after the time for its crash count. */
  create(fingerprint: string, crashes: number): CrashRecord;
  /** Removes expired records. */
  prune(): void;
}

/** Creates an empty set of records. */
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
        // The suspect was cleared. A quarantine ends only when it expires.
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

/**
 * Returns the record of a row; `undefined` when there is none or it has
 * expired.
 */
export function tryGetUnexpired(
  row: Row,
  wallMs: number,
): CrashRecord | undefined {
  const record = row.value as CrashRecord | null;
  return record !== null && record.expiresMs > wallMs ? record : undefined;
}
