import { ok } from "node:assert";
import { test } from "node:test";
import {
  createShapes,
  getShares,
  simulateLargeFleet,
} from "../testing/large_fleet.ts";

test("beside a flood all other teams of a large fleet get what they ask for", () => {
  // Guards against room that a flood takes from teams which lack less than a threshold.
  const shares = getShares(simulateLargeFleet(createShapes(6), { seed: 1 }));
  ok(Math.min(...shares) >= 0.95, shares.map((each) => each.toFixed(2)).join());
});

test("hosts that see the same free room do not fill it together for a flood", () => {
  // Guards against upstreams that are read to many times their limit when a small team's prompt comes.
  const slowdown = { fromMs: 0, untilMs: Infinity, speedShare: 0.7 };
  const shares = getShares(
    simulateLargeFleet(createShapes(12), { seed: 1, slowdown }),
  );
  ok(Math.min(...shares) >= 0.8, shares.map((each) => each.toFixed(2)).join());
});
