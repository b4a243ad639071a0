/**
 * This host's replica of one platform table, filled by its own reads or by
 * copies fetched from other hosts. A replica carries the platform's era and
 * version. An older copy never replaces a newer one, so a slow or partitioned
 * peer cannot roll this host back.
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

/** A host's replica of a platform table. */
export interface TableReplica<T> {
  /** The platform position up to which the replica is known to be current. */
  getPosition(): TablePosition;
  /**
   * The position of the newest change to the rows. Unlike `getPosition()`, it
   * differs between hosts only by replication lag.
   */
  getChangedPosition(): TablePosition;
  getRows(): ReadonlyMap<string, TableRow<T>>;
  /**
   * Replaces the replica by a snapshot. Returns false if the snapshot is not
   * newer, or has the same rows in the same era.
   */
  replace(snapshot: TableSnapshot<T>): boolean;
  /**
   * Applies the changes since the position that was requested. Returns false if
   * no row changed or if the changes do not extend this replica.
   */
  apply(change: TableChange<T>): boolean;
  /** The snapshot that other hosts fetch from this one. */
  getSnapshot(): TableSnapshot<T>;
}

/** Creates an empty replica. */
export function createTableReplica<T>(): TableReplica<T> {
  let rows: ReadonlyMap<string, TableRow<T>> = new Map();
  let position = NO_POSITION;
  let changedPosition = NO_POSITION;

  /** Moves the position forward; without an era, the current era is kept. */
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
      // In another era the same version number may belong to a different row.
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
