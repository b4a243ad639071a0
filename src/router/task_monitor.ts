/**
 * Monitors the router's periodic tasks. Failure prevented: an exception ends
 * the fiber of one task and nothing else. The host still serves requests and
 * looks healthy, but sends no more heartbeats or receives no more
 * configurations, which shows only as a slow degradation. The monitor logs a
 * failed run and lets the next one proceed, and `/healthz` reports a task whose
 * runs have stopped.
 *
 * @module
 */

import * as Cause from "effect/Cause";
import * as Effect from "effect/Effect";
import type { Clock } from "../core/mod.ts";

/** Dependencies of the monitor, supplied by the process. */
export interface TaskMonitorHost {
  readonly clock: Clock;
  /** Logs a failed run. */
  onFailed(task: string, reason: string): void;
}

/** Monitors tasks by name. */
export interface TaskMonitor {
  /** Wraps one run of the task; the returned effect never fails. */
  monitor(task: string, run: Effect.Effect<void>): Effect.Effect<void>;
  /** Why the host is not healthy; `undefined` when it is. */
  tryGetStuckReason(): string | undefined;
}

/**
 * Time without a completed run after which a task counts as stuck, in ms. The
 * longest period of a task is one minute (the sweep of claims), and a call to
 * the platform times out after two seconds, so a task that exceeds this time
 * does not recover.
 */
export const STUCK_TIMEOUT_MS = 180_000;

/** Creates a monitor without tasks. */
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
        return `The task "${task}" completed no run for ${seconds} s`;
      }
      return undefined;
    },
  };
}
