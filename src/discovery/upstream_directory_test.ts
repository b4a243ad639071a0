import { deepStrictEqual, strictEqual } from "node:assert";
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
  let returnMs = -Infinity;
  const changes: string[] = [];
  const directory = createUpstreamDirectory({
    clock,
    getPlatformReturnMs: () => returnMs,
    onChange: (entry, change) => changes.push(`${entry.id} ${change}`),
  });
  /**
   * Updates the directory with rows of that era, all written at `rowVersion`.
   */
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
    endOutage: () => returnMs = clock.monotonicMs(),
    leave: (entry: UpstreamEntry) => directory.markLeaving(entry, "answer"),
    update: (...entries: readonly UpstreamEntry[]) =>
      updateIn({ era: 1, rowVersion: 1 }, entries),
    updateIn,
    getReadyIds: () => directory.getReady("model").map((each) => each.id),
  };
}

const one = createUpstreamEntry({ id: "one" });
const two = createUpstreamEntry({ id: "two" });

test("an upstream that is leaving, or whose entry is removed, gets no new requests", () => {
  const fixture = createFixture();
  fixture.update(one, two);
  fixture.update(one, { ...two, state: "leaving" });
  deepStrictEqual(fixture.getReadyIds(), ["one"]);
  fixture.update({ ...two, state: "leaving" });
  deepStrictEqual(fixture.getReadyIds(), []);
});

test("another software version of an upstream is reported, with or without a restart", () => {
  const fixture = createFixture();
  fixture.update({ ...one, softwareVersion: "v1" });
  fixture.update({ ...one, softwareVersion: "v1.1" });
  fixture.update({ ...one, softwareVersion: "v1.1" });
  fixture.update({ ...one, softwareVersion: "v1", incarnation: 2 });
  deepStrictEqual(fixture.changes, [
    "one added",
    "one other-version",
    "one added",
  ]);
});

test("an upstream that was picked is not used once its row names other software", () => {
  const fixture = createFixture();
  const picked = { ...one, softwareVersion: "v1" };
  fixture.update(picked);
  strictEqual(fixture.directory.isReady(picked), true);
  fixture.update({ ...one, softwareVersion: "v1.1" });
  strictEqual(fixture.directory.isReady(picked), false);
});

test("entries that expired during an outage are kept until they may return", () => {
  // The platform's store is down for five seconds, and the entries of all
  // upstreams expire meanwhile. When it returns, the upstreams register again
  // within two seconds. A host that treated them as removed would refuse every
  // request in those seconds.
  const fixture = createFixture();
  fixture.update(one, two);
  fixture.endOutage();
  fixture.update();
  deepStrictEqual(fixture.getReadyIds(), ["one", "two"]);
  fixture.clock.advance(1_900);
  fixture.update(one);
  fixture.clock.advance(LAPSE_GRACE_MS - 1_900);
  deepStrictEqual(fixture.getReadyIds(), ["one"]);
  deepStrictEqual(fixture.changes.at(-1), "two removed");
});

test("an upstream that was leaving before the outage is not kept", () => {
  const fixture = createFixture();
  fixture.update(one, { ...two, state: "leaving" });
  fixture.endOutage();
  fixture.update(one);
  fixture.update(one);
  deepStrictEqual(fixture.getReadyIds(), ["one"]);
});

test("a restart under the same id counts as another instance", () => {
  const fixture = createFixture();
  fixture.update(one);
  fixture.update({ ...one, incarnation: 2 });
  deepStrictEqual(fixture.changes, ["one added", "one added"]);
  deepStrictEqual(fixture.directory.isReady(one), false);
});

test("an instance that announced its leaving stays leaving, whatever the table says", () => {
  // Guards against a stale or delayed row that lists the instance as ready.
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

test("an upstream whose leaving is known before its row gets no requests", () => {
  // Guards against a host that has just started and receives facts from other
  // hosts before it reads the platform.
  const fixture = createFixture();
  fixture.leave(one);
  fixture.update(one, two);
  deepStrictEqual(fixture.getReadyIds(), ["two"]);
});

test("an upstream that announced its leaving is not kept when its entry expires", () => {
  // Guards against requests to it in the grace period after an outage.
  const fixture = createFixture();
  fixture.update(one, two);
  fixture.leave(one);
  fixture.endOutage();
  fixture.update();
  fixture.update(one);
  deepStrictEqual(fixture.getReadyIds(), ["two"]);
});

test("a removed row that reappears from an older backup is ignored", () => {
  // Guards against requests to upstreams that have left or are about to.
  const fixture = createFixture();
  fixture.updateIn({ era: 1, rowVersion: 4 }, [one, two]);
  fixture.updateIn({ era: 1, rowVersion: 4 }, [two]);
  fixture.endOutage();
  fixture.updateIn({ era: 2, rowVersion: 3 }, [one, two]);
  deepStrictEqual(fixture.getReadyIds(), ["two"]);
  deepStrictEqual(fixture.changes.at(-1), "one removed");
  fixture.updateIn({ era: 2, rowVersion: 9 }, [one, two]);
  deepStrictEqual(fixture.getReadyIds(), ["one", "two"]);
});

test("an entry missing from the backup is used once it is written again", () => {
  // Guards against ignoring a new row whose version number equals that of a row
  // removed in the earlier era.
  const fixture = createFixture();
  fixture.updateIn({ era: 1, rowVersion: 4 }, [one, two]);
  fixture.endOutage();
  fixture.updateIn({ era: 2, rowVersion: 4 }, [two]);
  fixture.clock.advance(LAPSE_GRACE_MS);
  deepStrictEqual(fixture.getReadyIds(), ["two"]);
  fixture.updateIn({ era: 2, rowVersion: 4 }, [one, two]);
  deepStrictEqual(fixture.getReadyIds(), ["one", "two"]);
});
