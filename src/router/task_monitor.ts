/**
 * Watches the router's periodic tasks. Failure: a defect ends a task's fiber and
 * nothing else; the host answers and looks alive, yet sends no heartbeats or
 * takes no configurations any more. It shows only as a host that slowly goes
 * wrong. Here a turn that fails is logged and the next one comes all the same,
 * and a task whose turns stop makes `/healthz` say so.
 *
 * @module
 */

import * as Cause from "effect/Cause";
import * as Effect from "effect/Effect";
import type { Clock } from "../core/mod.ts";

/** What the watch needs of the process. */
export interface TaskMonitorHost {
  readonly clock: Clock;
  /** Tells the log of a turn that failed. */
  onFailed(task: string, reason: string): void;
}

/** Watches tasks by name. */
export interface TaskMonitor {
  /** One turn of the task, which never fails. */
  monitor(task: string, run: Effect.Effect<void>): Effect.Effect<void>;
  /** Why the host is not healthy; `undefined` when it is. */
  tryGetStuckReason(): string | undefined;
}

/**
 * No task pauses longer than a minute (the sweep of claims), and a call to the
 * platform ends after two seconds. A task without a turn for so long will have
 * none.
 */
export const STUCK_TIMEOUT_MS = 180_000;

/** Makes a watch without tasks. */
export function createTaskMonitor(host: TaskMonitorHost): TaskMonitor {
  const lastRunMs = new Map<string, number>();

  function recordRun(task: string): void {
    lastRunMs.set(task, host.clock.monotonicMs());
  }

  return {
    monitor(task, run) {
      recordRun(task);
      return run.pipe(
        Effect.catchCause((cause) =>
          Effect.sync(() => host.onFailed(task, Cause.pretty(cause)))
        ),
        Effect.tap(() => Effect.sync(() => recordRun(task))),
      );
    },
    tryGetStuckReason() {
      const nowMs = host.clock.monotonicMs();
      for (const [task, runMs] of lastRunMs) {
        const seconds = Math.round((nowMs - runMs) / 1000);
        if (nowMs - runMs < STUCK_TIMEOUT_MS) continue;
        return `The task "${task}" had no turn for ${seconds} s`;
      }
      return undefined;
    },
  };
}
