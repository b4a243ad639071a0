import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import type { HostActivity } from "../diagnostics/mod.ts";
import { createHostActivity } from "./host_activity.ts";

function createFixture() {
  const clock = createManualClock();
  const reported: HostActivity[] = [];
  const state = { processorMs: 500, utilization: 0.987 };
  const activity = createHostActivity({
    clock,
    readProcessorMs: () => state.processorMs,
    getUtilization: () => state.utilization,
    onActivity: (each) => reported.push(each),
  });
  return { activity, clock, reported, state };
}

test("each second with work is reported once, with what it took", () => {
  // Guards against a host that is full without a line that tells of what.
  const { activity, clock, reported, state } = createFixture();
  activity.count("accepted");
  activity.count("accepted");
  activity.count("refusedEarly");
  activity.measurePass(() => clock.advance(7));
  state.processorMs += 120;
  clock.advance(993);
  activity.tick();
  activity.tick();
  clock.advance(1_000);
  activity.tick();
  strictEqual(reported.length, 1);
  deepStrictEqual(reported[0], {
    accepted: 2,
    handedOff: 0,
    abandoned: 0,
    received: 0,
    answered: 0,
    refusedEarly: 1,
    refusedLate: 0,
    otherEnds: 0,
    processorMs: 120,
    passMs: 7,
    utilization: 0.99,
  });
});
