import { deepStrictEqual, match } from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { createManualClock } from "../core/mod.ts";
import { createTaskMonitor, STUCK_TIMEOUT_MS } from "./task_monitor.ts";

/**
 * Guards against a datagram of another version that makes the heartbeat throw
 * once and so ends its fiber. The host would still serve callers, but other
 * hosts would consider it dead from then on.
 */
test("a run that throws is reported, and the task continues", async () => {
  const clock = createManualClock();
  const failures: string[] = [];
  const monitor = createTaskMonitor({
    clock,
    onFailed: (task, reason) => failures.push(`${task}: ${reason}`),
  });
  let runs = 0;
  const run = monitor.monitor(
    "heartbeat",
    Effect.sync(() => {
      runs++;
      if (runs === 1) throw new Error("Unknown state");
    }),
  );
  await Effect.runPromise(run);
  await Effect.runPromise(run);
  deepStrictEqual(runs, 2);
  deepStrictEqual(failures.length, 1);
  match(failures[0]!, /^heartbeat: .*Unknown state/s);
});

test("a task without completed runs is named as the reason for bad health", async () => {
  const clock = createManualClock();
  const monitor = createTaskMonitor({ clock, onFailed: () => {} });
  const flush = monitor.monitor("flush", Effect.void);
  monitor.monitor("poll", Effect.never);
  clock.advance(STUCK_TIMEOUT_MS - 1);
  await Effect.runPromise(flush);
  deepStrictEqual(monitor.tryGetStuckReason(), undefined);
  clock.advance(1);
  deepStrictEqual(
    monitor.tryGetStuckReason(),
    'The task "poll" completed no run for 180 s',
  );
});
