import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import * as Effect from "effect/Effect";
import { systemClock } from "../core/mod.ts";
import { createSharedRead } from "./shared_read.ts";

/** A read whose outcomes the test decides, in the order of the reads. */
function createFixture() {
  const begun: ((value: number) => void)[] = [];
  const shared = createSharedRead({
    clock: systemClock,
    read: Effect.promise(() => new Promise<number>((end) => begun.push(end))),
  });
  const results: string[] = [];
  function get(name: string): void {
    const outcome = shared.get.pipe(
      Effect.map((value) => results.push(`${name} ${value}`)),
      Effect.catch(() => Effect.sync(() => results.push(`${name} failed`))),
    );
    Effect.runFork(outcome);
  }
  return { begun, shared, results, get };
}

test("a read that began before a request came proves nothing for it", async () => {
  // Guards against a version that was registered between the two.
  const { begun, results, get } = createFixture();
  get("first");
  await sleep(10);
  get("second");
  get("third");
  begun[0]!(1);
  await sleep(150);
  deepStrictEqual(results, ["first 1"]);
  strictEqual(begun.length, 2);
  begun[1]!(2);
  await sleep(10);
  deepStrictEqual(results, ["first 1", "second 2", "third 2"]);
});

test("a read that hangs ends, and further ones are spread", async () => {
  const { begun, shared, results, get } = createFixture();
  get("first");
  await sleep(350);
  deepStrictEqual(results, ["first failed"]);
  ok(shared.isFailing());
  get("second");
  await sleep(100);
  strictEqual(begun.length, 1);
});
