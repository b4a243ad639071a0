/**
 * A fake of the platform's record of software versions, in memory.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { ServiceVersion, VersionDirectory } from "../discovery/mod.ts";
import { failUnreachable, type TableError } from "../discovery/types.ts";

/** The record with the controls of a test. */
export interface FakeVersionDirectory extends VersionDirectory {
  /** The versions on record, in order. */
  getVersions(): readonly string[];
  /** Calls so far, in order: the kind of the call, and the version. */
  readonly calls: readonly string[];
  /** Lets all calls fail from now on, or none. */
  setAway(isAway: boolean): void;
  /** Forgets all versions, as a restore from an old backup does. */
  clear(): void;
}

/** Creates an empty record. */
export function createFakeVersionDirectory(): FakeVersionDirectory {
  const rows = new Map<string, ServiceVersion>();
  const calls: string[] = [];
  let isAway = false;

  function call<A>(
    name: string,
    answer: () => A,
  ): Effect.Effect<A, TableError> {
    return Effect.suspend(() => {
      calls.push(name);
      if (!isAway) return Effect.sync(answer);
      return failUnreachable("The platform is away");
    });
  }

  return {
    calls,
    getVersions: () => [...rows.keys()].sort(),
    setAway: (value) => isAway = value,
    clear: () => rows.clear(),
    read: () => call("read", () => [...rows.values()]),
    add: (row) =>
      call(`add ${row.version}`, () => void rows.set(row.version, row)),
    remove: ({ version }) =>
      call(`remove ${version}`, () => void rows.delete(version)),
  };
}
