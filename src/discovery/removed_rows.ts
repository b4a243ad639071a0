/**
 * Rows of upstreams that were removed. A platform that is back from an older copy
 * still has them; their upstreams have left or are about to.
 *
 * @module
 */

import { isLaterEra, type TablePosition } from "./positions.ts";
import type { TableRow, UpstreamEntry } from "./types.ts";

/** The rows that were removed. */
export interface RemovedRows {
  /** The row is missing at the position, and nothing may come after it. */
  add(row: TableRow<UpstreamEntry>, at: TablePosition): void;
  /**
   * Whether the row comes from a copy made before its removal. An upstream that is
   * there writes its row again after the platform's return; `returned` is where
   * this host first read the platform after it, so that what is newer was written
   * since.
   */
  isStale(row: TableRow<UpstreamEntry>, eraStart: TablePosition): boolean;
}

/** Rows remembered; the oldest goes first. */
const MAX_ROWS = 1_000;

interface RemovedRow {
  readonly row: TableRow<UpstreamEntry>;
  readonly at: TablePosition;
}

/** Makes an empty set. */
export function createRemovedRows(): RemovedRows {
  const removed = new Map<string, RemovedRow>();
  return {
    add(row, at) {
      removed.delete(row.key);
      removed.set(row.key, { row, at });
      if (removed.size > MAX_ROWS) removed.delete(removed.keys().next().value!);
    },
    isStale(row, eraStart) {
      const known = removed.get(row.key);
      if (known === undefined || !isLaterEra(eraStart, known.at)) return false;
      if (known.row.value.incarnation !== row.value.incarnation) return false;
      return row.version <= Math.min(known.row.version, eraStart.version);
    },
  };
}
