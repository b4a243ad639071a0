import { ok, strictEqual } from "node:assert";
import { performance } from "node:perf_hooks";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import {
  createEventLoopUtilization,
  UTILIZATION_WINDOW_MS,
} from "./event_loop_utilization.ts";

test("the utilization follows the windows, and a single one does not decide", () => {
  // Guards against one long request that makes a host hand connections off.
  const clock = createManualClock(1_000);
  let active = 0;
  let idle = 0;
  const utilization = createEventLoopUtilization(
    clock,
    () => ({ active, idle }),
  );
  function runWindow(share: number): number {
    for (let at = 0; at < UTILIZATION_WINDOW_MS; at += 10) {
      clock.advance(10);
      active += 10 * share;
      idle += 10 * (1 - share);
      utilization.tick();
    }
    return utilization.get();
  }
  for (let window = 0; window < 8; window++) runWindow(0.2);
  ok(runWindow(1) < 0.7);
  runWindow(1);
  ok(runWindow(1) > 0.8);
  for (let window = 0; window < 8; window++) runWindow(0.2);
  ok(Math.abs(utilization.get() - 0.2) < 0.01);
});

test("a window that a long iteration extended weighs as much as several", () => {
  const clock = createManualClock();
  let active = 0;
  const utilization = createEventLoopUtilization(
    clock,
    () => ({ active, idle: 0 }),
  );
  active = 1_000;
  clock.advance(1_000);
  utilization.tick();
  strictEqual(utilization.get(), 1 - 1 / 16);
});

test("Node reports the times of the event loop without a receiver", () => {
  const { eventLoopUtilization } = performance;
  ok(eventLoopUtilization().active >= 0);
});
