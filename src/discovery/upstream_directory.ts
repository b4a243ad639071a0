/**
 * The upstreams that may receive new requests, by service. The directory
 * combines the platform's table with what upstreams announce themselves.
 *
 * An upstream whose entry is removed, or that announces that it leaves,
 * receives no new requests from then on, even if the platform is restored from
 * a backup that does not contain the removal. The upstream's own announcement
 * takes precedence over the platform, which may be unavailable at that moment.
 *
 * There is one exception. Entries that expire during an outage of the platform
 * come back within about two seconds after it if their upstreams are running.
 * Dropping them immediately would refuse every request in those seconds, so
 * entries that vanish by then are kept until then. If such an upstream is in
 * fact dead, its connections are refused and requests go elsewhere. The time
 * counts from the end of the outage, not from when this host learns that the
 * entry is gone, and only an outage that no host could read through counts.
 *
 * @module
 */

import { type Clock, getOrCreate } from "../core/mod.ts";
import {
  createLeavingInstances,
  type UpstreamInstance,
} from "./leaving_instances.ts";
import { isLaterEra, NO_POSITION, type TablePosition } from "./positions.ts";
import { createRemovedRows } from "./removed_rows.ts";
import type { TableRow, UpstreamEntry } from "./types.ts";

/** The upstreams by service. */
export interface UpstreamDirectory {
  /** The service's upstreams that may receive new requests, ordered by id. */
  getReady(service: string): readonly UpstreamEntry[];
  /**
   * Whether this instance of the upstream, with the same software, may still
   * receive new requests.
   */
  isReady(entry: UpstreamEntry): boolean;
  /** Returns the upstream's entry, also of one that is leaving. */
  tryGet(id: string): UpstreamEntry | undefined;
  /** Records that the instance is leaving. Returns false if that was known. */
  markLeaving(instance: UpstreamInstance, from: LeavingSource): boolean;
  /** Replaces the table's rows by those as of the position. */
  update(
    rows: ReadonlyMap<string, TableRow<UpstreamEntry>>,
    at: TablePosition,
  ): void;
}

/** Dependencies of an upstream directory. */
export interface UpstreamDirectoryHost {
  readonly clock: Clock;
  /**
   * Monotonic time in ms at which the platform last came back, from an outage or
   * from a backup; `-Infinity` if it was never away.
   */
  getPlatformReturnMs(): number;
  /**
   * Called when an upstream was added or removed, is leaving, is kept after an
   * outage, or names another software version without a restart.
   */
  onChange(
    entry: UpstreamEntry,
    change: UpstreamChange,
    from: ChangeSource,
  ): void;
}

/**
 * How this host learned that an upstream is leaving: from an answer of the
 * upstream, or from another host.
 */
export type LeavingSource = "answer" | "host";

/** The source of a change. */
export type ChangeSource = LeavingSource | "table";

/** A change to an upstream's entry. */
export type UpstreamChange =
  | "added"
  | "leaving"
  | "removed"
  | "kept"
  | "other-version";

/**
 * Until when after the platform's return an entry that has vanished is kept, in
 * ms: the 2 s within which it may be back, plus 300 ms for the change to reach
 * this host.
 */
export const LAPSE_GRACE_MS = 2_300;

/** Creates an empty directory. */
export function createUpstreamDirectory(
  host: UpstreamDirectoryHost,
): UpstreamDirectory {
  let rows: ReadonlyMap<string, TableRow<UpstreamEntry>> = new Map();
  let position = NO_POSITION;
  /** The position at which this host first read the current era. */
  let eraStart = NO_POSITION;
  let ready: ReadonlyMap<string, readonly UpstreamEntry[]> = new Map();
  const leaving = createLeavingInstances();
  const removedRows = createRemovedRows();
  const retainedUntilMs = new Map<string, number>();
  let nextExpiryMs = Infinity;

  function rebuildReady(): void {
    const next = new Map<string, UpstreamEntry[]>();
    const ids = [...rows.keys()].sort();
    for (const id of ids) {
      const entry = rows.get(id)!.value;
      if (!acceptsWork(entry)) continue;
      getOrCreate(next, entry.service, () => []).push(entry);
    }
    ready = next;
    nextExpiryMs = Math.min(Infinity, ...retainedUntilMs.values());
  }

  function acceptsWork(entry: UpstreamEntry): boolean {
    return entry.state === "ready" && !leaving.has(entry);
  }

  function removeExpired(): void {
    const nowMs = host.clock.monotonicMs();
    if (nowMs < nextExpiryMs) return;
    const next = new Map(rows);
    for (const [id, untilMs] of retainedUntilMs) {
      if (nowMs < untilMs) continue;
      remove(next.get(id)!);
      next.delete(id);
    }
    rows = next;
    rebuildReady();
  }

  function remove(row: TableRow<UpstreamEntry>): void {
    retainedUntilMs.delete(row.key);
    removedRows.add(row, position);
    host.onChange(row.value, "removed", "table");
  }

  function reportChange(id: string, entry: UpstreamEntry): void {
    const known = rows.get(id)?.value;
    const isSameInstance = known?.incarnation === entry.incarnation;
    if (isSameInstance && known.softwareVersion !== entry.softwareVersion) {
      host.onChange(entry, "other-version", "table");
    }
    if (isSameInstance && known.state === entry.state) return;
    if (entry.state === "leaving") {
      if (leaving.add(entry)) host.onChange(entry, "leaving", "table");
    } else if (!leaving.has(entry)) host.onChange(entry, "added", "table");
  }

  function keepOrRemove(row: TableRow<UpstreamEntry>): boolean {
    const untilMs = host.getPlatformReturnMs() + LAPSE_GRACE_MS;
    const mayReturn = acceptsWork(row.value) &&
      host.clock.monotonicMs() < untilMs;
    if (!mayReturn) {
      remove(row);
      return false;
    }
    const isKept = retainedUntilMs.has(row.key);
    retainedUntilMs.set(row.key, untilMs);
    if (!isKept) host.onChange(row.value, "kept", "table");
    return true;
  }

  return {
    getReady(service) {
      removeExpired();
      return ready.get(service) ?? [];
    },
    isReady(entry) {
      removeExpired();
      const known = rows.get(entry.id)?.value;
      return known !== undefined && acceptsWork(known) &&
        known.incarnation === entry.incarnation &&
        known.softwareVersion === entry.softwareVersion;
    },
    tryGet: (id) => rows.get(id)?.value,
    markLeaving(instance, from) {
      if (!leaving.add(instance)) return false;
      const known = rows.get(instance.id)?.value;
      if (known?.incarnation === instance.incarnation) {
        host.onChange(known, "leaving", from);
        rebuildReady();
      }
      return true;
    },
    update(tableRows, at) {
      const next = new Map<string, TableRow<UpstreamEntry>>();
      if (isLaterEra(at, position)) eraStart = at;
      for (const [id, row] of tableRows) {
        if (removedRows.isStale(row, eraStart)) continue;
        retainedUntilMs.delete(id);
        reportChange(id, row.value);
        next.set(id, row);
      }
      position = at;
      for (const [id, row] of rows) {
        if (!next.has(id) && keepOrRemove(row)) next.set(id, row);
      }
      rows = next;
      rebuildReady();
    },
  };
}
