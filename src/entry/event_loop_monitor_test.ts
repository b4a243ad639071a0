import { strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { createEventLoopMonitor } from "./event_loop_monitor.ts";

const PERIOD_MS = 10;

test("a host that reads a flood says that it is behind until the turn ends", () => {
  // Two hundred requests a second come to a host that takes fifteen. Its turns
  // grow to seconds; what it reads at a turn's end has long been given up.
  const clock = createManualClock(1_000);
  const monitor = createEventLoopMonitor(clock, PERIOD_MS);
  monitor.tick();
  clock.advance(PERIOD_MS + 200);
  strictEqual(monitor.isOverloaded(), false);
  clock.advance(1);
  strictEqual(monitor.isOverloaded(), true);
  monitor.tick();
  strictEqual(monitor.isOverloaded(), false);
});

test("what is read now may have waited since the turn before began", () => {
  const clock = createManualClock(1_000);
  const monitor = createEventLoopMonitor(clock, PERIOD_MS);
  monitor.tick();
  clock.advance(PERIOD_MS);
  monitor.tick();
  strictEqual(monitor.getUnreadMs(), 0);
  clock.advance(PERIOD_MS + 700);
  monitor.tick();
  clock.advance(300);
  strictEqual(monitor.getUnreadMs(), 990);
});
