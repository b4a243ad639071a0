/**
 * An in-memory platform for tests. The test controls its failures: outages,
 * requests lost before the write and replies lost after it, and calls that wait
 * for the test's scheduler.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import {
  type ConditionalWrite,
  type Platform,
  PlatformError,
  type Row,
  type TransactResult,
} from "../platform/mod.ts";

/** The fake with its controls. */
export interface FakePlatform extends Platform {
  readonly control: FakeControl;
  readonly counts: { reads: number; writes: number };
  /** All rows ever written, in order. */
  readonly written: readonly ConditionalWrite[];
}

/** Failures that a test can cause. */
export interface FakeControl {
  down: boolean;
  /** Number of next writes that take effect but whose reply is lost. */
  lostReplies: number;
  /** Number of next writes that are lost, with an outcome that is uncertain. */
  lostRequests: number;
  /** Whether the platform goes down as soon as a write has taken effect. */
  downAfterWrite: boolean;
  /** Reservations that the weight store still grants. */
  reservations: number;
  /** Awaited by each call before and after its effect. */
  interceptCall: (call: string) => Promise<void>;
}

/** Creates an empty platform without failures. */
export function createFakePlatform(): FakePlatform {
  const rows = new Map<string, Row>();
  const objects = new Map<string, string>();
  const written: ConditionalWrite[] = [];
  const counts = { reads: 0, writes: 0 };
  const control: FakeControl = {
    down: false,
    lostReplies: 0,
    lostRequests: 0,
    downAfterWrite: false,
    reservations: Infinity,
    interceptCall: () => Promise.resolve(),
  };

  function call<A>(
    name: string,
    run: () => A,
  ): Effect.Effect<A, PlatformError> {
    return Effect.tryPromise({
      try: async () => {
        await control.interceptCall(name);
        if (control.down) throw fail("The platform is down", false);
        const result = run();
        await control.interceptCall(name);
        return result;
      },
      catch: (err) =>
        err instanceof PlatformError ? err : fail(String(err), true),
    });
  }

  function getRow(table: string, key: string): Row {
    return rows.get(`${table}/${key}`) ?? { key, value: null, version: 0 };
  }

  function transact(writes: readonly ConditionalWrite[]): TransactResult {
    counts.writes++;
    if (control.lostRequests > 0) {
      control.lostRequests--;
      throw fail("The request is lost", true);
    }
    const found = writes.map((each) => getRow(each.table, each.key));
    const matches = writes.every((each, index) =>
      found[index]!.version === each.expectedVersion
    );
    if (!matches) return { kind: "conflict", rows: found };
    for (const write of writes) {
      written.push(write);
      rows.set(`${write.table}/${write.key}`, {
        key: write.key,
        value: write.value,
        version: write.expectedVersion + 1,
      });
    }
    if (control.downAfterWrite) control.down = true;
    if (control.lostReplies > 0) {
      control.lostReplies--;
      throw fail("The reply is lost", true);
    }
    return { kind: "committed" };
  }

  function read<A>(value: () => A): () => A {
    return () => {
      counts.reads++;
      return value();
    };
  }

  return {
    control,
    counts,
    written,
    tables: {
      transact: (writes) => call("transact", () => transact(writes)),
      get: (table, key) => call("get", read(() => getRow(table, key))),
      list: (table, prefix) =>
        call(
          "list",
          read(() =>
            [...rows].filter(([name]) => name.startsWith(`${table}/${prefix}`))
              .map(([, row]) => row)
              .sort((a, b) => a.key < b.key ? -1 : 1)
          ),
        ),
    },
    objects: {
      put: (name, content) =>
        call("put", () => void objects.set(name, content)),
      tryGet: (name) => call("object", read(() => objects.get(name))),
    },
    machines: { get: () => call("machines", () => []) },
    weights: {
      tryReserve: () =>
        call("reserve", () => {
          if (control.reservations <= 0) return false;
          control.reservations--;
          return true;
        }),
    },
  };
}

function fail(reason: string, mayHaveRun: boolean): PlatformError {
  return new PlatformError({ reason, mayHaveRun });
}
