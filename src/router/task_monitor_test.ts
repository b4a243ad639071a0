import { deepStrictEqual, match } from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { createManualClock } from "../core/mod.ts";
import { createTaskMonitor, STUCK_TIMEOUT_MS } from "./task_monitor.ts";

/**
 * A datagram of another version makes the heartbeat's code throw once. The host
 * goes on answering callers, but the others take it for dead and it never comes
 * back, since the task's fiber has ended.
 */
test("a turn that throws is told, and the task goes on", async () => {
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

test("a task without runs makes the host unhealthy, and says which", async () => {
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
    'The task "poll" had no turn for 180 s',
  );
});
