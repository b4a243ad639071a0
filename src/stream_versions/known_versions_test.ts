import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { createKnownVersions, type VersionRow } from "./known_versions.ts";

const row = (softwareVersion: string): VersionRow => ({
  service: "s",
  softwareVersion,
});

test("a version counts for thirty seconds after its last upstream has gone", () => {
  const clock = createManualClock();
  const known = createKnownVersions(clock);
  known.update([row("v1"), row("v1"), row("v1.1")]);
  clock.advance(100_000);
  known.update([row("v1.1")]);
  clock.advance(29_999);
  deepStrictEqual(new Set(known.get("s")), new Set(["v1", "v1.1"]));
  clock.advance(1);
  deepStrictEqual(known.get("s"), ["v1.1"]);
});

test("only versions that were not known are reported as added", () => {
  const clock = createManualClock();
  const known = createKnownVersions(clock);
  const added = (...rows: VersionRow[]) =>
    known.update(rows).map((each) => each.version);
  deepStrictEqual(added(row("v1"), row("v1")), ["v1"]);
  clock.advance(100_000);
  deepStrictEqual(added(row("v1"), row("v1.1")), ["v1.1"]);
  deepStrictEqual(added(row("v1")), []);
  clock.advance(30_000);
  deepStrictEqual(added(row("v1"), row("v1.1")), ["v1.1"]);
});

test("a version that another host has seen counts, and is new only once", () => {
  const clock = createManualClock();
  const known = createKnownVersions(clock);
  known.update([row("v1")]);
  clock.advance(100_000);
  strictEqual(known.record({ service: "s", version: "v1" }), false);
  strictEqual(known.record({ service: "s", version: "v1.1" }), true);
  strictEqual(known.record({ service: "s", version: "v1.1" }), false);
  deepStrictEqual(new Set(known.get("s")), new Set(["v1", "v1.1"]));
});

test("the versions of all services are listed, present or gone of late", () => {
  // Guards against a record of versions that lacks one that has just gone.
  const clock = createManualClock();
  const known = createKnownVersions(clock);
  known.update([row("v1"), { service: "other", softwareVersion: "v7" }]);
  known.update([row("v2")]);
  deepStrictEqual(known.getAll(), [
    { service: "s", version: "v2" },
    { service: "s", version: "v1" },
    { service: "other", version: "v7" },
  ]);
  clock.advance(30_000);
  deepStrictEqual(known.getAll(), [{ service: "s", version: "v2" }]);
});
