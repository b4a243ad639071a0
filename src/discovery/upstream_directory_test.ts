import { deepStrictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { createUpstreamEntry } from "../testing/routing_fixture.ts";
import type { UpstreamEntry } from "./types.ts";
import {
  createUpstreamDirectory,
  LAPSE_GRACE_MS,
} from "./upstream_directory.ts";

function createFixture() {
  const clock = createManualClock(10_000);
  let isOutage = false;
  const changes: string[] = [];
  const directory = createUpstreamDirectory({
    clock,
    hadOutageWithin: () => isOutage,
    onChange: (entry, change) => changes.push(`${entry.id} ${change}`),
  });
  /** The table in that era, its rows written at the version. */
  function updateIn(
    { era, rowVersion }: { readonly era: number; readonly rowVersion: number },
    entries: readonly UpstreamEntry[],
  ): void {
    const rows = entries.map((value) => ({
      key: value.id,
      version: rowVersion,
      value,
    }));
    const position = { era, version: rowVersion };
    directory.update(new Map(rows.map((row) => [row.key, row])), position);
  }

  return {
    clock,
    directory,
    changes,
    setOutage: (value: boolean) => isOutage = value,
    leave: (entry: UpstreamEntry) => directory.markLeaving(entry, "answer"),
    update: (...entries: readonly UpstreamEntry[]) =>
      updateIn({ era: 1, rowVersion: 1 }, entries),
    updateIn,
    getReadyIds: () => directory.getReady("model").map((each) => each.id),
  };
}

const one = createUpstreamEntry({ id: "one" });
const two = createUpstreamEntry({ id: "two" });

test("an upstream that leaves, or whose entry is removed, gets no new work", () => {
  const fixture = createFixture();
  fixture.update(one, two);
  fixture.update(one, { ...two, state: "leaving" });
  deepStrictEqual(fixture.getReadyIds(), ["one"]);
  fixture.update({ ...two, state: "leaving" });
  deepStrictEqual(fixture.getReadyIds(), []);
});

test("entries that lapsed in an outage are kept until they may be back", () => {
  // The platform's store is down for five seconds and the entries of all
  // upstreams lapse meanwhile. It returns; the upstreams write themselves down
  // again within two seconds. A host that took them for gone would refuse
  // every request of those seconds.
  const fixture = createFixture();
  fixture.update(one, two);
  fixture.setOutage(true);
  fixture.update();
  deepStrictEqual(fixture.getReadyIds(), ["one", "two"]);
  fixture.clock.advance(1_900);
  fixture.update(one);
  fixture.clock.advance(LAPSE_GRACE_MS - 1_900);
  deepStrictEqual(fixture.getReadyIds(), ["one"]);
  deepStrictEqual(fixture.changes.at(-1), "two removed");
});

test("one that was leaving before the outage is not kept", () => {
  const fixture = createFixture();
  fixture.update(one, { ...two, state: "leaving" });
  fixture.setOutage(true);
  fixture.update(one);
  fixture.update(one);
  deepStrictEqual(fixture.getReadyIds(), ["one"]);
});

test("the same id started anew counts as another upstream", () => {
  const fixture = createFixture();
  fixture.update(one);
  fixture.update({ ...one, incarnation: 2 });
  deepStrictEqual(fixture.changes, ["one added", "one added"]);
  deepStrictEqual(fixture.directory.isReady(one), false);
});

test("what has said that it leaves stays so, whatever the table says of that start", () => {
  // Guards against an old or late row that calls it ready.
  const fixture = createFixture();
  fixture.update(one, two);
  deepStrictEqual(fixture.leave(one), true);
  deepStrictEqual(fixture.leave(one), false);
  deepStrictEqual(fixture.getReadyIds(), ["two"]);
  fixture.update({ ...one, slots: 9 }, { ...two, state: "leaving" });
  fixture.update(one, two);
  deepStrictEqual(fixture.getReadyIds(), []);
  deepStrictEqual(fixture.directory.isReady(one), false);
  deepStrictEqual(fixture.changes, [
    "one added",
    "two added",
    "one leaving",
    "two leaving",
  ]);
  const again = { ...one, incarnation: one.incarnation + 1 };
  fixture.update(again, two);
  deepStrictEqual(fixture.getReadyIds(), ["one"]);
});

test("one whose leaving is heard of before its row gets no work", () => {
  // Guards against a host that has just started, and asks others before the platform.
  const fixture = createFixture();
  fixture.leave(one);
  fixture.update(one, two);
  deepStrictEqual(fixture.getReadyIds(), ["two"]);
});

test("one that leaves by its own word is not kept when its entry lapses", () => {
  // Guards against work for it in the grace after an outage.
  const fixture = createFixture();
  fixture.update(one, two);
  fixture.leave(one);
  fixture.setOutage(true);
  fixture.update();
  fixture.update(one);
  deepStrictEqual(fixture.getReadyIds(), ["two"]);
});

test("a removed row that an old copy of the platform still has names no upstream to use", () => {
  // Guards against requests to upstreams that are gone or about to be.
  const fixture = createFixture();
  fixture.updateIn({ era: 1, rowVersion: 4 }, [one, two]);
  fixture.updateIn({ era: 1, rowVersion: 4 }, [two]);
  fixture.setOutage(true);
  fixture.updateIn({ era: 2, rowVersion: 3 }, [one, two]);
  deepStrictEqual(fixture.getReadyIds(), ["two"]);
  deepStrictEqual(fixture.changes.at(-1), "one removed");
  fixture.updateIn({ era: 2, rowVersion: 9 }, [one, two]);
  deepStrictEqual(fixture.getReadyIds(), ["one", "two"]);
});

test("an entry that a copy lacked is used when it is written under its old version", () => {
  // Guards against an upstream taken for gone since versions are given out again.
  const fixture = createFixture();
  fixture.updateIn({ era: 1, rowVersion: 4 }, [one, two]);
  fixture.setOutage(true);
  fixture.updateIn({ era: 2, rowVersion: 4 }, [two]);
  fixture.clock.advance(LAPSE_GRACE_MS);
  deepStrictEqual(fixture.getReadyIds(), ["two"]);
  fixture.updateIn({ era: 2, rowVersion: 4 }, [one, two]);
  deepStrictEqual(fixture.getReadyIds(), ["one", "two"]);
});
