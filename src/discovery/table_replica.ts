/**
 * One table of the platform as this host knows it, whether it read the table
 * itself or another host passed it on. A copy bears the platform's era and
 * version, and an older copy never replaces a newer one: what a slow or cut-off
 * peer says can't take this host back.
 *
 * @module
 */

import {
  isLaterEra,
  isNewer,
  isSameEra,
  NO_POSITION,
  type TablePosition,
} from "./positions.ts";
import type { TableChange, TableRow, TableSnapshot } from "./types.ts";

/** A host's copy of a table. */
export interface TableReplica<T> {
  /** Up to which the platform was read. */
  getPosition(): TablePosition;
  /** Of the newest change; differs from host to host only by lag. */
  getChangedPosition(): TablePosition;
  getRows(): ReadonlyMap<string, TableRow<T>>;
  /** Takes a whole copy; false when it is not newer. */
  replace(snapshot: TableSnapshot<T>): boolean;
  /**
   * Takes what changed since the position that was asked for; false when nothing
   * did, or when it does not add to the present copy.
   */
  apply(change: TableChange<T>): boolean;
  /** The copy as it is passed on. */
  getSnapshot(): TableSnapshot<T>;
}

/** Makes a copy of a table never seen. */
export function createTableReplica<T>(): TableReplica<T> {
  let rows: ReadonlyMap<string, TableRow<T>> = new Map();
  let position = NO_POSITION;
  let changedPosition = NO_POSITION;

  /** Goes on to the version in its era, or in the known one if it names none. */
  function advanceTo({ era = position.era, version }: TablePosition): void {
    position = { era, version };
  }

  function setRows(
    next: ReadonlyMap<string, TableRow<T>>,
    nextPosition: TablePosition,
  ): void {
    rows = next;
    advanceTo(nextPosition);
    changedPosition = position;
  }

  return {
    getPosition: () => position,
    getChangedPosition: () => changedPosition,
    getRows: () => rows,
    replace(snapshot) {
      if (!isNewer(snapshot, position)) return false;
      const next = new Map(snapshot.rows.map((row) => [row.key, row]));
      // Rows of two eras may bear the same version and be others.
      const isUnchanged = changedPosition.version > 0 &&
        !isLaterEra(snapshot, position) && haveSameRows(rows, next);
      if (isUnchanged) {
        advanceTo(snapshot);
        return false;
      }
      setRows(next, snapshot);
      return true;
    },
    apply(change) {
      if (!isSameEra(change, position)) return false;
      if (change.version <= position.version) return false;
      const next = new Map(rows);
      for (const key of change.removed) next.delete(key);
      for (const row of change.changed) next.set(row.key, row);
      if (haveSameRows(rows, next)) {
        advanceTo(change);
        return false;
      }
      setRows(next, change);
      return true;
    },
    getSnapshot: () => ({ ...changedPosition, rows: [...rows.values()] }),
  };
}

function haveSameRows<T>(
  a: ReadonlyMap<string, TableRow<T>>,
  b: ReadonlyMap<string, TableRow<T>>,
): boolean {
  if (a.size !== b.size) return false;
  for (const [key, row] of a) {
    if (b.get(key)?.version !== row.version) return false;
  }
  return true;
}
