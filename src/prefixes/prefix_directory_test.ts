import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import {
  ANNOUNCEMENT_PERIOD_MS,
  createPrefixDirectory,
  MAX_HOLDERS,
  MAX_PREFIXES,
  PLACEMENT_TTL_MS,
} from "./prefix_directory.ts";

function createFixture() {
  const clock = createManualClock();
  const directory = createPrefixDirectory({ nowMs: clock.monotonicMs });
  return {
    clock,
    directory,
    getUpstreams: (prefix: number) =>
      directory.getHolders(prefix).map((each) => each.upstream),
  };
}

test("a placement expires at 20 s after its last use, and keeps the age of its first", () => {
  // Guards against a hot prefix whose holder is too young to be a source for as
  // long as prompts arrive.
  const { clock, directory, getUpstreams } = createFixture();
  directory.record({ prefix: 1, upstream: 7 });
  clock.advance(PLACEMENT_TTL_MS);
  directory.receive({ prefix: 1, upstream: 8 });
  deepStrictEqual(directory.getHolders(1), [
    { upstream: 7, ageMs: PLACEMENT_TTL_MS },
    { upstream: 8, ageMs: 0 },
  ]);
  const revision = directory.getRevision(1);
  clock.advance(1);
  deepStrictEqual(getUpstreams(1), [8]);
  // A prompt after that finds an upstream that may have evicted the prefix.
  strictEqual(directory.record({ prefix: 1, upstream: 7 }), true);
  ok(directory.getRevision(1) > revision);
  strictEqual(directory.getHolders(1).at(-1)?.ageMs, 0);
  clock.advance(PLACEMENT_TTL_MS + 1);
  strictEqual(directory.count(), 0);
});

test("a placement is announced when it is new, and again after 10 s", () => {
  // Guards against an announcement for each prompt, also of several hosts that
  // use the same upstream.
  const { clock, directory } = createFixture();
  const placement = { prefix: 1, upstream: 7 };
  strictEqual(directory.record(placement), true);
  // The aggregator returns it to the host that has announced it.
  clock.advance(200);
  strictEqual(directory.receive(placement), false);
  clock.advance(ANNOUNCEMENT_PERIOD_MS - 200);
  strictEqual(directory.record(placement), false);
  clock.advance(1);
  strictEqual(directory.record(placement), true);
  clock.advance(ANNOUNCEMENT_PERIOD_MS);
  strictEqual(directory.receive(placement), true);
  strictEqual(directory.record(placement), false);
});

test("the least recently used prefixes and holders are dropped first", () => {
  // Guards against memory that grows with the number of prefixes.
  const { clock, directory, getUpstreams } = createFixture();
  for (let prefix = 0; prefix < MAX_PREFIXES; prefix++) {
    directory.receive({ prefix, upstream: 1 });
  }
  directory.record({ prefix: 0, upstream: 1 });
  directory.record({ prefix: MAX_PREFIXES, upstream: 1 });
  strictEqual(directory.count(), MAX_PREFIXES);
  deepStrictEqual([0, 1, 2].map((each) => getUpstreams(each).length), [
    1,
    0,
    1,
  ]);
  for (let upstream = 2; upstream <= MAX_HOLDERS + 1; upstream++) {
    clock.advance(1);
    directory.record({ prefix: 0, upstream: 1 });
    directory.record({ prefix: 0, upstream });
  }
  deepStrictEqual(getUpstreams(0).sort(), [1, 3, 4, 5]);
});
