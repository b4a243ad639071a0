import { ok } from "node:assert";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import * as TestClock from "effect/testing/TestClock";
import { createSharedTable } from "./shared_table.ts";
import { followTable } from "./table_follower.ts";

test("a fleet's start does not cost a call for each upstream and host", async () => {
  // Eighty hosts start, none of which knows yet that others read, while sixty
  // upstreams register. Every host took a call for every upstream: 2,508 calls
  // before the first caller came, priced each, and near the platform's rates.
  let calls = 0;
  let version = 1;
  const follower = followTable<string>({
    source: {
      read: () =>
        Effect.sync(() => {
          calls++;
          return { version, rows: [] };
        }),
      // Something changes all the time, so that no call waits.
      follow: () =>
        Effect.sync(() => {
          calls++;
          version++;
          const row = { key: "upstream", version, value: "ready" };
          return { version, changed: [row], removed: [] };
        }),
    },
    table: createSharedTable<string>(),
    isReader: () => true,
    onContact: () => {},
    onFailure: () => {},
    random: () => 0.5,
  });
  await Effect.runPromise(
    Effect.gen(function* () {
      const running = yield* Effect.forkChild(follower);
      yield* TestClock.adjust(3_000);
      yield* Fiber.interrupt(running);
    }).pipe(Effect.provide(TestClock.layer())),
  );
  ok(calls >= 3 && calls <= 5, `${calls} calls in three seconds`);
});
