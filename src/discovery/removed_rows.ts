/**
 * Remembers the rows of upstreams that were removed from the platform's table.
 * A platform that was restored from an older backup lists them again, although
 * their upstreams have left or are about to leave.
 *
 * @module
 */

import { dropOldest } from "../core/mod.ts";
import { isLaterEra, type TablePosition } from "./positions.ts";
import type { TableRow, UpstreamEntry } from "./types.ts";

/** The removed rows. */
export interface RemovedRows {
  /** Records that the row is missing from the table as of the position. */
  add(row: TableRow<UpstreamEntry>, at: TablePosition): void;
  /**
   * Whether the row comes from a backup that was taken before the row's
   * removal. `eraStart` is the position at which this host first read the
   * restored platform. An upstream that is still running writes its row again
   * after the restore, so a row that is newer than `eraStart` is not stale.
   */
  isStale(row: TableRow<UpstreamEntry>, eraStart: TablePosition): boolean;
}

/** Upper bound on the remembered rows; the oldest entry is evicted first. */
const MAX_ROWS = 1_000;

interface RemovedRow {
  readonly row: TableRow<UpstreamEntry>;
  readonly at: TablePosition;
}

export function createRemovedRows(): RemovedRows {
  const removed = new Map<string, RemovedRow>();
  return {
    add(row, at) {
      removed.delete(row.key);
      removed.set(row.key, { row, at });
      dropOldest(removed, MAX_ROWS);
    },
    isStale(row, eraStart) {
      const known = removed.get(row.key);
      if (known === undefined || !isLaterEra(eraStart, known.at)) return false;
      if (known.row.value.incarnation !== row.value.incarnation) return false;
      return row.version <= Math.min(known.row.version, eraStart.version);
    },
  };
}
