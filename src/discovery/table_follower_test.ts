import { deepStrictEqual, ok } from "node:assert";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as TestClock from "effect/testing/TestClock";
import { createManualClock, type ManualClock } from "../core/mod.ts";
import { createTableReplica } from "./table_replica.ts";
import { followTable } from "./table_follower.ts";
import { TableError } from "./types.ts";

const STEP_MS = 100;

/** Follows a table that changes constantly, so that no poll waits. */
function createFixture() {
  const clock = createManualClock(0);
  let calls = 0;
  let version = 1;
  let isReader = true;
  let mustThrow = false;
  const defects: unknown[] = [];
  const follower = followTable<string>({
    clock,
    source: {
      read: () =>
        Effect.sync(() => {
          calls++;
          return { version, rows: [] };
        }),
      pollChanges: () =>
        Effect.sync(() => {
          calls++;
          version++;
          const row = { key: "upstream", version, value: "ready" };
          return { version, changed: [row], removed: [] };
        }).pipe(Effect.delay(STEP_MS)),
    },
    table: createTableReplica<string>(),
    isReader: () => isReader,
    onAnswer() {
      if (!mustThrow) return;
      mustThrow = false;
      throw new RangeError("Too large to be told");
    },
    onFailure: () => {},
    onDefect: (defect) => defects.push(defect),
    random: () => 0.5,
  });

  /** Advances the time by `ms`; returns the number of calls made meanwhile. */
  function run(ms: number): Effect.Effect<number> {
    return Effect.gen(function* () {
      const before = calls;
      yield* advance(clock, ms);
      return calls - before;
    });
  }

  return {
    run,
    defects,
    throwOnce: () => void (mustThrow = true),
    setReader: (value: boolean) => void (isReader = value),
    runInVirtualTime: (steps: Effect.Effect<void>) =>
      runInVirtualTime(follower, steps),
  };
}

/** Dependencies of a reader that ignores all notifications. */
function createReaderHost(clock: ManualClock) {
  return {
    clock,
    isReader: () => true,
    onAnswer: () => {},
    onFailure: () => {},
    onDefect: () => {},
    random: () => 0.5,
  };
}

/** Advances the time by `ms`. */
function advance(clock: ManualClock, ms: number): Effect.Effect<void> {
  return Effect.gen(function* () {
    for (let at = 0; at < ms; at += STEP_MS) {
      clock.advance(STEP_MS);
      yield* TestClock.adjust(STEP_MS);
    }
  });
}

/** Runs the follower in virtual time until the steps have completed. */
function runInVirtualTime(
  follower: Effect.Effect<never>,
  steps: Effect.Effect<void>,
): Promise<void> {
  return Effect.runPromise(
    Effect.gen(function* () {
      const running = yield* Effect.forkChild(follower);
      yield* steps;
      yield* Fiber.interrupt(running);
    }).pipe(Effect.provide(TestClock.layer())),
  );
}

test("starting a fleet does not cost one call per upstream and host", async () => {
  // Eighty hosts start while sixty upstreams register, and no host knows yet
  // that others are readers. Without a pause after each answer, every host
  // makes one call for each upstream: 2,508 calls before the first caller
  // arrives, each of them charged, and close to the platform's rate limits.
  const fixture = createFixture();
  await fixture.runInVirtualTime(Effect.gen(function* () {
    const calls = yield* fixture.run(3_000);
    ok(calls >= 3 && calls <= 5, `${calls} calls in three seconds`);
  }));
});

test("a host that replaces another reader receives changes without delay", async () => {
  // Guards against start-up pauses in a host that becomes a reader a minute
  // after its start. Such a host has made few calls. If it paused like a host
  // that has just started, routes that operators add would be refused for
  // almost another second.
  const fixture = createFixture();
  await fixture.runInVirtualTime(Effect.gen(function* () {
    fixture.setReader(false);
    yield* fixture.run(60_000);
    fixture.setReader(true);
    const calls = yield* fixture.run(1_000);
    ok(calls >= 8, `${calls} calls in a second`);
  }));
});

test("a follower continues after an exception in its host's callback", async () => {
  // Sending a report to the other hosts throws once. If the follower ended
  // there, without a log line, the host would keep its last replica for good.
  const fixture = createFixture();
  await fixture.runInVirtualTime(Effect.gen(function* () {
    yield* fixture.run(10_000);
    fixture.throwOnce();
    yield* fixture.run(1_000);
    const calls = yield* fixture.run(1_000);
    ok(calls >= 8, `${calls} calls in a second`);
  }));
  deepStrictEqual(fixture.defects, [new RangeError("Too large to be told")]);
});

test("a platform that always reports lost history is not called in a tight loop", async () => {
  // Guards against hundreds of calls per second by each reader.
  let calls = 0;
  const clock = createManualClock(10_000);
  const follower = followTable<string>({
    ...createReaderHost(clock),
    source: {
      read: () =>
        Effect.sync(() => {
          calls++;
          return { version: 5, rows: [] };
        }),
      pollChanges: () => {
        calls++;
        const reason = "The history is gone";
        return Effect.fail(new TableError({ kind: "history-lost", reason }));
      },
    },
    table: createTableReplica<string>(),
  });
  await runInVirtualTime(
    follower,
    Effect.gen(function* () {
      yield* advance(clock, 20_000);
      calls = 0;
      yield* advance(clock, 10_000);
    }),
  );
  // Each attempt makes two calls and takes at least 250 ms.
  ok(calls <= 80, `${calls} calls in ten seconds`);
});

test("changes of another era are not applied; the full table is read instead", async () => {
  // Guards against missed changes: after a restore, version numbers below the
  // requested one are assigned again.
  const clock = createManualClock(10_000);
  const table = createTableReplica<string>();
  const states = [
    { era: 1, version: 20, rows: [] },
    {
      era: 2,
      version: 23,
      rows: [{ key: "a", version: 18, value: "leaving" }],
    },
  ];
  let follows = 0;
  const follower = followTable<string>({
    ...createReaderHost(clock),
    source: {
      read: () => Effect.sync(() => states.shift()!),
      pollChanges: () =>
        Effect.sync(() => {
          follows++;
          const change = { version: 23, changed: [], removed: [] };
          // A delayed answer of the earlier era arrives after the second read.
          return { ...change, era: follows === 2 ? 1 : 2 };
        }).pipe(Effect.delay(STEP_MS)),
    },
    table,
  });
  await runInVirtualTime(follower, advance(clock, 9_000));
  deepStrictEqual(table.getPosition(), { era: 2, version: 23 });
  deepStrictEqual(table.getRows().get("a")?.value, "leaving");
  ok(follows > 3);
});
