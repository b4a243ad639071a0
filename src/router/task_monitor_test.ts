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
  const watch = createTaskMonitor({
    clock,
    onFailed: (task, reason) => failures.push(`${task}: ${reason}`),
  });
  let turns = 0;
  const turn = watch.monitor(
    "heartbeat",
    Effect.sync(() => {
      turns++;
      if (turns === 1) throw new Error("Unknown state");
    }),
  );
  await Effect.runPromise(turn);
  await Effect.runPromise(turn);
  deepStrictEqual(turns, 2);
  deepStrictEqual(failures.length, 1);
  match(failures[0]!, /^heartbeat: .*Unknown state/s);
});

test("a task without turns makes the host unhealthy, and says which", async () => {
  const clock = createManualClock();
  const watch = createTaskMonitor({ clock, onFailed: () => {} });
  const flush = watch.monitor("flush", Effect.void);
  watch.monitor("poll", Effect.never);
  clock.advance(STUCK_TIMEOUT_MS - 1);
  await Effect.runPromise(flush);
  deepStrictEqual(watch.tryGetStuckReason(), undefined);
  clock.advance(1);
  deepStrictEqual(
    watch.tryGetStuckReason(),
    'The task "poll" had no turn for 180 s',
  );
});
