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
    backoffs,
    inFlight,
    getAvailable: (...lives: readonly (typeof one)[]) =>
      backoffs.limitAfterBackoff(
        lives.filter((each) => backoffs.getRemainingMs(each) === 0),
        (id) => inFlight.get(id) ?? 0,
      ).map((each) => each.id),
  };
}

test("an upstream gets no requests during a back-off, even if there is no other", () => {
  const { clock, backoffs, getAvailable } = createFixture();
  backoffs.record(one, 3_000);
  deepStrictEqual(getAvailable(one, two), ["two"]);
  deepStrictEqual(getAvailable(one), []);
  clock.advance(2_999);
  deepStrictEqual(getAvailable(one), []);
  strictEqual(backoffs.getRemainingMs(one), 1);
  clock.advance(1);
  deepStrictEqual(getAvailable(one), ["one"]);
});

test("of several back-offs the one that ends last applies", () => {
  const { clock, backoffs } = createFixture();
  backoffs.record(one, 3_000);
  clock.advance(500);
  backoffs.record(one, 1_000);
  strictEqual(backoffs.getRemainingMs(one), 2_500);
  backoffs.record(one, 4_000);
  strictEqual(backoffs.getRemainingMs(one), 4_000);
});

test("a back-off ends when the upstream that asked for it restarts", () => {
  const { backoffs, getAvailable } = createFixture();
  backoffs.record(one, 3_000);
  deepStrictEqual(getAvailable({ ...one, incarnation: 2 }), ["one"]);
});

test("after a back-off requests return a few at a time while other upstreams take the remainder", () => {
  // Guards against a burst at an upstream that has just shed load.
  const { clock, backoffs, inFlight, getAvailable } = createFixture();
  backoffs.record(one, 1_000);
  // A response during the back-off, to an earlier request: does not show that
  // the upstream accepts requests again.
  backoffs.recordSuccess(one);
  clock.advance(1_000);
  deepStrictEqual(getAvailable(one, two), ["one", "two"]);
  inFlight.set("one", 1);
  deepStrictEqual(getAvailable(one, two), ["two"]);
  deepStrictEqual(getAvailable(one), ["one"]);
  backoffs.recordSuccess(one);
  deepStrictEqual(getAvailable(one, two), ["one", "two"]);
  inFlight.set("one", 2);
  deepStrictEqual(getAvailable(one, two), ["two"]);
  for (let answered = 0; answered < 4; answered++) backoffs.recordSuccess(one);
  inFlight.set("one", 100);
  deepStrictEqual(getAvailable(one, two), ["one", "two"]);
});
