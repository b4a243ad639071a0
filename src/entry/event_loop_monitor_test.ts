import { strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { createEventLoopMonitor } from "./event_loop_monitor.ts";

const PERIOD_MS = 10;

test("a host in a long event-loop iteration is overloaded until the iteration ends", () => {
  // A host that processes 15 requests per second receives 200. Its iterations
  // grow to seconds, so that callers have disconnected before the host reads
  // their requests.
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

test("input read now may have waited since the previous iteration began", () => {
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

test("what is read right after a stall may have arrived when it began", () => {
  // Guards against an end of a connection that counts as new, although another
  // process may have taken the place of the upstream since.
  const clock = createManualClock(1_000);
  const monitor = createEventLoopMonitor(clock, PERIOD_MS);
  monitor.tick();
  clock.advance(2_600);
  monitor.tick();
  for (let tick = 0; tick < 10; tick++) {
    clock.advance(PERIOD_MS);
    monitor.tick();
  }
  strictEqual(monitor.getStalledMs(), 2_700);
  clock.advance(101);
  strictEqual(monitor.getStalledMs(), 91);
});

test("a suspended machine, whose monotonic clock stands still, was stalled", () => {
  const clock = createManualClock(1_000);
  const monitor = createEventLoopMonitor(clock, PERIOD_MS);
  monitor.tick();
  clock.stepWall(3_000);
  clock.advance(PERIOD_MS);
  monitor.tick();
  strictEqual(monitor.getStalledMs(), 3_010);
  strictEqual(monitor.getUnreadMs(), 0);
  clock.stepWall(-3_000);
  clock.advance(PERIOD_MS + 200);
  monitor.tick();
  strictEqual(monitor.getStalledMs(), 210);
});
