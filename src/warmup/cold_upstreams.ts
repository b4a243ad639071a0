/**
 * Which upstreams are cold, and for how long. An upstream is cold when it says
 * so, and also when it may have started without this host's knowledge: when its
 * registration says nothing of it within a minute of its start, and when its data centre is taken back after
 * an evacuation.
 *
 * All times count from when this host learns of them, which is later than the
 * upstream's own, so that an upstream is not taken for warm too early.
 *
 * @module
 */

import { type Clock, dropOldest } from "../core/mod.ts";
import type { WarmingUpstream, WarmUpLimit } from "./types.ts";

/** An upstream's registration, as far as it matters for its warm-up. */
export interface WarmUpEntry extends WarmingUpstream {
  /**
   * Remaining warm-up in ms when the registration was written; `undefined` if
   * it says nothing of it.
   */
  readonly warmUpLeftMs: number | undefined;
}

/** A row of the table of upstreams. */
export interface WarmUpRow {
  /** Version of the row. */
  readonly version: number;
  readonly value: WarmUpEntry;
}

/** Why an upstream is taken for cold. */
export type ColdReason = "unknown" | "entry" | "answer" | "evacuation-ended";

/** The upstreams that are cold, as far as this host knows. */
export interface ColdUpstreams {
  /**
   * Applies the rows of the table. Upstreams whose rows are gone stay known,
   * since a row may only have expired while the platform was unavailable.
   */
  update(rows: Iterable<WarmUpRow>): void;
  /** Records that the upstream has said how long it stays cold, in ms. */
  recordStated(upstream: WarmingUpstream, leftMs: number): void;
  /** Records that the data centre was taken back after an evacuation. */
  recordEvacuationEnded(dataCentre: string): void;
  /** Returns how long the upstream stays cold, in ms; 0 if it is warm. */
  getLeftMs(upstream: WarmingUpstream): number;
  /** Number of upstreams that are cold now. */
  count(): number;
}

/** Dependencies of the cold upstreams. */
export interface ColdUpstreamsHost {
  readonly clock: Clock;
  /** The service's limit; `undefined` if its upstreams need no warm-up. */
  tryGetLimit(service: string): WarmUpLimit | undefined;
  /** Called when an upstream that was warm or unknown is taken for cold. */
  onCold(upstream: WarmingUpstream, reason: ColdReason, leftMs: number): void;
}

/** Upper bound on the known upstreams; the oldest entry is evicted first. */
const MAX_RECORDS = 4_000;

/**
 * An upstream that started longer ago than this, in ms, is warm unless it says
 * otherwise: more than any warm-up, and than clocks differ.
 */
const MAX_WARM_UP_AGE_MS = 65_000;

interface ColdRecord {
  readonly entry: WarmUpEntry;
  readonly rowVersion: number;
  /** Monotonic milliseconds until which the upstream is cold. */
  untilMs: number;
  /**
   * Monotonic milliseconds at which this host learned of an upstream that says
   * nothing of its warm-up; it is cold for the service's duration from then.
   */
  unknownSinceMs: number | undefined;
}

/** Creates the record of a host that knows no upstreams. */
export function createColdUpstreams(host: ColdUpstreamsHost): ColdUpstreams {
  const { clock } = host;
  const records = new Map<string, ColdRecord>();

  function getRecordLeftMs(record: ColdRecord): number {
    const limit = host.tryGetLimit(record.entry.service);
    if (limit === undefined) return 0;
    const unknownUntilMs = record.unknownSinceMs === undefined
      ? -Infinity
      : record.unknownSinceMs + limit.durationMs;
    const untilMs = Math.max(record.untilMs, unknownUntilMs);
    return Math.max(0, untilMs - clock.monotonicMs());
  }

  /** Changes a record and reports an upstream that is cold only by it. */
  function change(
    record: ColdRecord,
    reason: ColdReason,
    apply: () => void,
  ): void {
    const wasCold = getRecordLeftMs(record) > 0;
    apply();
    const leftMs = getRecordLeftMs(record);
    if (!wasCold && leftMs > 0) host.onCold(record.entry, reason, leftMs);
  }

  function extend(record: ColdRecord, reason: ColdReason, leftMs: number) {
    const untilMs = clock.monotonicMs() + leftMs;
    change(record, reason, () => {
      record.untilMs = Math.max(record.untilMs, untilMs);
    });
  }

  /** Whether an upstream that says nothing may have started recently. */
  function mayBeWarmingUp({ incarnation }: WarmUpEntry): boolean {
    return clock.wallMs() - incarnation < MAX_WARM_UP_AGE_MS;
  }

  function updateRow({ value, version }: WarmUpRow): ColdRecord {
    const known = records.get(value.id);
    const isSameStart = known?.entry.incarnation === value.incarnation;
    if (isSameStart && known.rowVersion === version) return known;
    const record: ColdRecord = {
      entry: value,
      rowVersion: version,
      untilMs: isSameStart ? known.untilMs : -Infinity,
      unknownSinceMs: isSameStart ? known.unknownSinceMs : undefined,
    };
    if (value.warmUpLeftMs !== undefined) {
      extend(record, "entry", value.warmUpLeftMs);
    } else if (!isSameStart && mayBeWarmingUp(value)) {
      const nowMs = clock.monotonicMs();
      change(record, "unknown", () => record.unknownSinceMs = nowMs);
    }
    return record;
  }

  return {
    update(rows) {
      for (const row of rows) {
        const record = updateRow(row);
        records.delete(row.value.id);
        records.set(row.value.id, record);
      }
      dropOldest(records, MAX_RECORDS);
    },
    recordStated(upstream, leftMs) {
      const record = records.get(upstream.id);
      if (record?.entry.incarnation !== upstream.incarnation) return;
      extend(record, "answer", leftMs);
    },
    recordEvacuationEnded(dataCentre) {
      for (const record of records.values()) {
        if (record.entry.dataCentre !== dataCentre) continue;
        const limit = host.tryGetLimit(record.entry.service);
        if (limit === undefined) continue;
        extend(record, "evacuation-ended", limit.durationMs);
      }
    },
    getLeftMs(upstream) {
      const record = records.get(upstream.id);
      if (record?.entry.incarnation === upstream.incarnation) {
        return getRecordLeftMs(record);
      }
      return host.tryGetLimit(upstream.service)?.durationMs ?? 0;
    },
    count: () =>
      [...records.values()].filter((each) => getRecordLeftMs(each) > 0).length,
  };
}
