import { ok, strictEqual } from "node:assert";
import { test } from "node:test";
import fc from "fast-check";
import { createManualClock } from "../core/mod.ts";
import { createColdUpstreams, type WarmUpEntry } from "./cold_upstreams.ts";
import { createWarmUps } from "./warm_ups.ts";

const upstream: WarmUpEntry = {
  id: "one",
  service: "model",
  dataCentre: "wuse",
  incarnation: 1,
  warmUpLeftMs: 3_000,
};

/** A host that is the only one, so that it has the whole limit. */
function createFixture(requestsPerSecond: number, startedMs = 0) {
  const clock = createManualClock(10_000);
  const tryGetLimit = () => ({ durationMs: 3_000, requestsPerSecond });
  const cold = createColdUpstreams({ clock, tryGetLimit, onCold: () => {} });
  cold.update([{ version: 1, value: upstream }]);
  const warmUps = createWarmUps({
    clock,
    cold,
    self: "self",
    startedMs,
    tryGetLimit,
    getRegion: () => "abuja",
    getHosts: () => [{ address: "self", region: "abuja", isAlive: true }],
  });
  return { clock, warmUps };
}

test("in any second a cold upstream gets no more requests than its limit", () => {
  fc.assert(fc.property(
    fc.integer({ min: 1, max: 40 }),
    fc.array(fc.integer({ min: 1, max: 400 }), { maxLength: 60 }),
    (limit, pausesMs) => {
      const { clock, warmUps } = createFixture(limit);
      const sentMs: number[] = [];
      for (const pauseMs of pausesMs) {
        clock.advance(pauseMs);
        while (warmUps.getAllowance(upstream) === "now") {
          warmUps.take(upstream);
          sentMs.push(clock.monotonicMs());
        }
      }
      for (const first of sentMs) {
        const inSecond = sentMs.filter((ms) => ms >= first && ms < first + 1e3);
        ok(inSecond.length <= limit, `${inSecond.length} of ${limit}`);
      }
    },
  ));
});

test("a warm upstream is not limited", () => {
  const { clock, warmUps } = createFixture(9);
  strictEqual(warmUps.getAllowance(upstream), "later");
  clock.advance(3_000);
  strictEqual(warmUps.getAllowance(upstream), "unlimited");
  strictEqual(warmUps.isCold(upstream), false);
});

test("a host that has just started sends a cold upstream nothing", () => {
  // Guards against hosts that return together, know no others yet and each take
  // the whole limit.
  const { clock, warmUps } = createFixture(9, 9_000);
  clock.advance(1_000);
  strictEqual(warmUps.getAllowance(upstream), "none");
});
