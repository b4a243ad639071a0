/**
 * The upstreams that may get work, by service, from the platform's table and
 * from what upstreams say of themselves.
 *
 * An entry that is removed or says that it leaves gets no new work from then on,
 * also when the platform comes back from a copy that knows nothing of it. Its own
 * word counts before the platform's, which may be away just then.
 * One exception: after an outage of the platform, entries that lapsed meanwhile
 * come back within about two seconds if their upstream lives. Dropping them at
 * once would refuse every request of those seconds, so an entry that vanishes
 * right after an outage is kept for that time; a dead upstream shows by refused
 * connections.
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

/** Upstreams by service. */
export interface UpstreamDirectory {
  /** Those of the service that may get work, in the order of their ids. */
  getReady(service: string): readonly UpstreamEntry[];
  /** Whether this very start of the upstream may still get work. */
  isReady(entry: UpstreamEntry): boolean;
  /** Requests that the upstream works on at once; 0 for an unknown one. */
  getSlots(upstream: string): number;
  /** An upstream has said itself that it leaves; false when it was known. */
  markLeaving(instance: UpstreamInstance, from: LeavingSource): boolean;
  /** Takes in the table's rows as of the position. */
  update(
    rows: ReadonlyMap<string, TableRow<UpstreamEntry>>,
    at: TablePosition,
  ): void;
}

/** What the directory needs of the process. */
export interface UpstreamDirectoryHost {
  readonly clock: Clock;
  /** Whether the platform was away within the time given, in ms. */
  hadOutageWithin(ms: number): boolean;
  /** An upstream has come, left, or is kept for the grace after an outage. */
  onChange(
    entry: UpstreamEntry,
    change: UpstreamChange,
    from: ChangeSource,
  ): void;
}

/** Who said that an upstream leaves: it itself, or a host that it told. */
export type LeavingSource = "answer" | "host";

/** Where a change was learned. */
export type ChangeSource = LeavingSource | "table";

/** What became of an upstream. */
export type UpstreamChange = "added" | "leaving" | "removed" | "kept";

/**
 * How long a vanished entry is kept after an outage, in ms: the two seconds in
 * which it may return, and the tenths that the platform's news take.
 */
export const LAPSE_GRACE_MS = 2_300;

/** An outage counts as recent for so long, in ms: three missed heartbeats. */
const RECENT_OUTAGE_MS = 4_000;

/** Makes a directory without upstreams. */
export function createUpstreamDirectory(
  host: UpstreamDirectoryHost,
): UpstreamDirectory {
  let rows: ReadonlyMap<string, TableRow<UpstreamEntry>> = new Map();
  let position = NO_POSITION;
  /** Where the present era was first read. */
  let eraStart = NO_POSITION;
  let ready: ReadonlyMap<string, readonly UpstreamEntry[]> = new Map();
  const leaving = createLeavingInstances();
  const removedRows = createRemovedRows();
  const keptUntilMs = new Map<string, number>();
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
    nextExpiryMs = Math.min(Infinity, ...keptUntilMs.values());
  }

  function acceptsWork(entry: UpstreamEntry): boolean {
    return entry.state === "ready" && !leaving.has(entry);
  }

  function removeExpired(): void {
    const nowMs = host.clock.monotonicMs();
    if (nowMs < nextExpiryMs) return;
    const next = new Map(rows);
    for (const [id, untilMs] of keptUntilMs) {
      if (nowMs < untilMs) continue;
      remove(next.get(id)!);
      next.delete(id);
    }
    rows = next;
    rebuildReady();
  }

  function remove(row: TableRow<UpstreamEntry>): void {
    keptUntilMs.delete(row.key);
    removedRows.add(row, position);
    host.onChange(row.value, "removed", "table");
  }

  function reportChange(id: string, entry: UpstreamEntry): void {
    const known = rows.get(id)?.value;
    const isSameInstance = known?.incarnation === entry.incarnation;
    if (isSameInstance && known?.state === entry.state) return;
    if (entry.state === "leaving") {
      if (leaving.add(entry)) host.onChange(entry, "leaving", "table");
    } else if (!leaving.has(entry)) host.onChange(entry, "added", "table");
  }

  function keepOrRemove(row: TableRow<UpstreamEntry>): boolean {
    const mayReturn = acceptsWork(row.value) &&
      host.hadOutageWithin(RECENT_OUTAGE_MS);
    if (!mayReturn) {
      remove(row);
      return false;
    }
    if (!keptUntilMs.has(row.key)) {
      keptUntilMs.set(row.key, host.clock.monotonicMs() + LAPSE_GRACE_MS);
      host.onChange(row.value, "kept", "table");
    }
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
        known.incarnation === entry.incarnation;
    },
    getSlots: (upstream) => rows.get(upstream)?.value.slots ?? 0,
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
        keptUntilMs.delete(id);
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
