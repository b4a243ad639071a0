import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { createEraTracker } from "./era_tracker.ts";

function createFixture() {
  const clock = createManualClock(10_000);
  const seen: string[] = [];
  const eras = createEraTracker({
    clock,
    log: ({ event }) => seen.push(event),
    onRestored: () => seen.push("returned"),
  });
  return { clock, seen, eras };
}

test("a restore is reported once, whichever table shows it first", () => {
  const { clock, seen, eras } = createFixture();
  eras.recordPosition("config", { era: 1, version: 9 }, "platform");
  eras.recordPosition("upstreams", { era: 1, version: 9 }, "platform");
  strictEqual(eras.getRestoredMs(), -Infinity);
  eras.recordPosition("upstreams", { era: 2, version: 4 }, "platform");
  eras.recordPosition("config", { era: 2, version: 5 }, "10.0.0.2:1");
  deepStrictEqual(seen, [
    "platform-era-changed",
    "returned",
    "platform-era-changed",
  ]);
  const restoredMs = clock.monotonicMs();
  clock.advance(3_000);
  strictEqual(eras.getRestoredMs(), restoredMs);
});

test("a restore is reported even if a table never read before shows its era first", () => {
  // Guards against a host that does not check whether the restore has lost its
  // registration.
  const { seen, eras } = createFixture();
  eras.recordPosition("upstreams", { era: 1, version: 9 }, "platform");
  eras.recordPosition("config", { era: 2, version: 5 }, "platform");
  eras.recordPosition("upstreams", { era: 2, version: 5 }, "platform");
  deepStrictEqual(seen, ["platform-era-changed", "returned"]);
});
