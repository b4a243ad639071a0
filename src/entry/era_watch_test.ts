import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { createEraWatch } from "./era_watch.ts";

function createFixture() {
  const clock = createManualClock(10_000);
  const seen: string[] = [];
  const eras = createEraWatch({
    clock,
    log: ({ event }) => seen.push(event),
    onReturned: () => seen.push("returned"),
  });
  return { clock, seen, eras };
}

test("a return is told once, whichever table shows it first", () => {
  const { clock, seen, eras } = createFixture();
  eras.note("config", { era: 1, version: 9 }, "platform");
  eras.note("upstreams", { era: 1, version: 9 }, "platform");
  strictEqual(eras.wasReturnWithin(60_000), false);
  eras.note("upstreams", { era: 2, version: 4 }, "platform");
  eras.note("config", { era: 2, version: 5 }, "10.0.0.2:1");
  deepStrictEqual(seen, [
    "platform-era-changed",
    "returned",
    "platform-era-changed",
  ]);
  clock.advance(3_000);
  strictEqual(eras.wasReturnWithin(4_000), true);
  clock.advance(1_000);
  strictEqual(eras.wasReturnWithin(4_000), false);
});

test("a return is told though a table that was never read shows its era first", () => {
  // Guards against a host that the platform has lost and that doesn't look.
  const { seen, eras } = createFixture();
  eras.note("upstreams", { era: 1, version: 9 }, "platform");
  eras.note("config", { era: 2, version: 5 }, "platform");
  eras.note("upstreams", { era: 2, version: 5 }, "platform");
  deepStrictEqual(seen, ["platform-era-changed", "returned"]);
});
