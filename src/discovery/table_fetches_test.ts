import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { setImmediate } from "node:timers/promises";
import { createManualClock } from "../core/mod.ts";
import type { TablePosition } from "./positions.ts";
import { createTableFetches } from "./table_fetches.ts";

/** Fetches of a host at version 1; each fetch stays open until it is ended. */
function createFixture() {
  const clock = createManualClock();
  const started: string[] = [];
  const open = new Map<string, () => void>();
  let position: TablePosition = { era: 1, version: 1 };
  const fetches = createTableFetches({
    clock,
    getPosition: () => position,
    fetch(peer) {
      started.push(peer);
      return new Promise((resolve) => open.set(peer, resolve));
    },
  });
  return {
    clock,
    fetches,
    started,
    offer: (peer: string, version: number, era = 1) =>
      fetches.offer(peer, { era, version }),
    setPosition(version: number) {
      position = { era: 1, version };
    },
    async end(peer: string) {
      open.get(peer)!();
      await setImmediate();
    },
  };
}

test("a fetch that fails is followed by one from the next host at once", async () => {
  // Guards against hosts that wait for the next report of the same reader.
  const fixture = createFixture();
  fixture.offer("a", 2);
  fixture.offer("b", 2);
  deepStrictEqual(fixture.started, ["a"]);
  await fixture.end("a");
  deepStrictEqual(fixture.started, ["a", "b"]);
});

test("a fetch that takes long is joined by ones from other hosts", () => {
  // Guards against a reader that accepts connections and doesn't answer.
  const fixture = createFixture();
  for (const peer of ["a", "b", "c", "d"]) fixture.offer(peer, 2);
  for (const expected of [["a"], ["a", "b"], ["a", "b", "c"]]) {
    fixture.fetches.tick();
    deepStrictEqual(fixture.started, expected);
    fixture.clock.advance(300);
  }
  fixture.fetches.tick();
  strictEqual(fixture.started.length, 3);
});

test("a version that was reported during a fetch is fetched after it", async () => {
  // Guards against hosts that stay at the first of several quick changes.
  const fixture = createFixture();
  fixture.offer("a", 2);
  fixture.offer("a", 3);
  fixture.setPosition(2);
  await fixture.end("a");
  deepStrictEqual(fixture.started, ["a", "a"]);
});

test("the time of a lack counts from the oldest version that is still lacked", () => {
  // Guards against hosts that read the platform because changes come all the time.
  const fixture = createFixture();
  fixture.offer("a", 2);
  fixture.clock.advance(400);
  fixture.offer("a", 3);
  fixture.clock.advance(400);
  strictEqual(fixture.fetches.getLackedMs(), 800);
  fixture.setPosition(2);
  strictEqual(fixture.fetches.getLackedMs(), 400);
  fixture.setPosition(3);
  strictEqual(fixture.fetches.getLackedMs(), 0);
});

test("a version that the platform does not have is lacked no longer after two reads", async () => {
  // Guards against hosts that read the platform for good because one peer is misled.
  const fixture = createFixture();
  fixture.offer("misled", 9);
  fixture.fetches.recordRead();
  await fixture.end("misled");
  fixture.clock.advance(1_100);
  strictEqual(fixture.fetches.getLackedMs(), 1_100);
  fixture.fetches.recordRead();
  strictEqual(fixture.fetches.getLackedMs(), 0);
  fixture.offer("misled", 9);
  strictEqual(fixture.fetches.getLackedMs(), 0);
  fixture.offer("sound", 2);
  fixture.clock.advance(100);
  strictEqual(fixture.fetches.getLackedMs(), 100);
});

test("a version that own reads did not bring is still fetched from who offers it", async () => {
  // Guards against a host that the platform's polls leave out, and that believes no peer either.
  const fixture = createFixture();
  fixture.offer("a", 2);
  await fixture.end("a");
  fixture.fetches.recordRead();
  fixture.fetches.recordRead();
  fixture.offer("a", 2);
  deepStrictEqual(fixture.started, ["a", "a"]);
});

test("a version of an older era is not fetched, one of a later era is", () => {
  // Guards against a copy from before the platform was restored.
  const fixture = createFixture();
  fixture.offer("old", 7, 0);
  deepStrictEqual(fixture.started, []);
  fixture.offer("new", 1, 2);
  deepStrictEqual(fixture.started, ["new"]);
});
