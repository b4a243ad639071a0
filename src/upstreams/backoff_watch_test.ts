import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { createBackoffWatch } from "./backoff_watch.ts";

const one = { id: "one", incarnation: 1 };
const two = { id: "two", incarnation: 1 };

function createFixture() {
  const clock = createManualClock(10_000);
  const backoffs = createBackoffWatch(clock);
  const inFlight = new Map<string, number>();
  return {
    clock,
    rests: backoffs,
    inFlight,
    getAvailable: (...lives: readonly (typeof one)[]) =>
      backoffs.filterAvailable(lives, (id) => inFlight.get(id) ?? 0)
        .map((each) => each.id),
  };
}

test("an upstream that rests gets nothing, even where no other is left", () => {
  const { clock, rests, getAvailable: getOpen } = createFixture();
  rests.record(one, 3_000);
  deepStrictEqual(getOpen(one, two), ["two"]);
  deepStrictEqual(getOpen(one), []);
  clock.advance(2_999);
  deepStrictEqual(getOpen(one), []);
  strictEqual(rests.getRemainingMs(one), 1);
  clock.advance(1);
  deepStrictEqual(getOpen(one), ["one"]);
});

test("of several rests the one that ends last holds", () => {
  const { clock, rests } = createFixture();
  rests.record(one, 3_000);
  clock.advance(500);
  rests.record(one, 1_000);
  strictEqual(rests.getRemainingMs(one), 2_500);
  rests.record(one, 4_000);
  strictEqual(rests.getRemainingMs(one), 4_000);
});

test("a rest ends with the start of the upstream that asked for it", () => {
  const { rests, getAvailable: getOpen } = createFixture();
  rests.record(one, 3_000);
  deepStrictEqual(getOpen({ ...one, incarnation: 2 }), ["one"]);
});

test("after a rest requests come back a few at a time, where others take the rest", () => {
  // Guards against a burst at an upstream that has shed its load a moment ago.
  const { clock, rests, inFlight, getAvailable: getOpen } = createFixture();
  rests.record(one, 1_000);
  // Sent before the rest, answered in it: no sign that it takes more.
  rests.recordSuccess(one);
  clock.advance(1_000);
  deepStrictEqual(getOpen(one, two), ["one", "two"]);
  inFlight.set("one", 1);
  deepStrictEqual(getOpen(one, two), ["two"]);
  deepStrictEqual(getOpen(one), ["one"]);
  rests.recordSuccess(one);
  deepStrictEqual(getOpen(one, two), ["one", "two"]);
  inFlight.set("one", 2);
  deepStrictEqual(getOpen(one, two), ["two"]);
  for (let answered = 0; answered < 4; answered++) rests.recordSuccess(one);
  inFlight.set("one", 100);
  deepStrictEqual(getOpen(one, two), ["one", "two"]);
});
