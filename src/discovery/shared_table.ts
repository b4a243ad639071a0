/**
 * One table of the platform as this host knows it, whether it read the table
 * itself or another host passed it on. A copy bears the platform's version, and
 * an older copy never replaces a newer one: what a slow or cut-off peer says
 * can't take this host back.
 *
 * @module
 */

import type { TableChange, TableRow, TableState } from "./types.ts";

/** A host's copy of a table. */
export interface SharedTable<T> {
  /** Version up to which the platform was read; 0 for a table never seen. */
  getVersion(): number;
  /** Version of the newest change; differs from host to host only by lag. */
  getChangedVersion(): number;
  getRows(): ReadonlyMap<string, TableRow<T>>;
  /** Takes a whole copy; false when it is not newer. */
  replace(state: TableState<T>): boolean;
  /** Takes what changed since the version given; false when nothing did. */
  apply(change: TableChange<T>): boolean;
  /** The copy as it is passed on. */
  getState(): TableState<T>;
}

/** Makes a copy of a table never seen. */
export function createSharedTable<T>(): SharedTable<T> {
  let rows: ReadonlyMap<string, TableRow<T>> = new Map();
  let version = 0;
  let changedVersion = 0;

  function set(next: ReadonlyMap<string, TableRow<T>>, nextVersion: number) {
    rows = next;
    version = nextVersion;
    changedVersion = nextVersion;
  }

  return {
    getVersion: () => version,
    getChangedVersion: () => changedVersion,
    getRows: () => rows,
    replace(state) {
      if (state.version <= version) return false;
      const next = new Map(state.rows.map((row) => [row.key, row]));
      if (changedVersion > 0 && isSame(rows, next)) {
        version = state.version;
        return false;
      }
      set(next, state.version);
      return true;
    },
    apply(change) {
      if (change.version <= version) return false;
      const next = new Map(rows);
      for (const key of change.removed) next.delete(key);
      for (const row of change.changed) next.set(row.key, row);
      if (isSame(rows, next)) {
        version = change.version;
        return false;
      }
      set(next, change.version);
      return true;
    },
    getState: () => ({ version: changedVersion, rows: [...rows.values()] }),
  };
}

function isSame<T>(
  a: ReadonlyMap<string, TableRow<T>>,
  b: ReadonlyMap<string, TableRow<T>>,
): boolean {
  if (a.size !== b.size) return false;
  for (const [key, row] of a) {
    if (b.get(key)?.version !== row.version) return false;
  }
  return true;
}
