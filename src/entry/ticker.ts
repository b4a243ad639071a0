/**
 * Runs short functions periodically, each tick within one event-loop iteration:
 * first the measurement of the iterations themselves, then the decisions that
 * depend on what has been read.
 *
 * Load: 90 hosts that run a scheduling pass a hundred times per second, day and
 * night. Failure prevented: as an Effect fiber that sleeps, each pass takes two
 * event-loop iterations and twice the processor time, which is wasted on idle
 * hosts and which busy hosts need for their callers. After a long iteration or
 * a pause of the process, an immediate decision would be based on outdated
 * input; see `runAfterPendingReads`.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import { runAfterPendingReads } from "../core/mod.ts";

/** The functions that a ticker runs. */
export interface TickerJobs {
  /** Runs in each tick, however late it is; depends on the time only. */
  measure?(): void;
  /** Runs in each tick; after a late tick, only once sockets have been read. */
  decide(): void;
}

/**
 * A tick that is late by more than this, in ms, reads sockets before deciding.
 */
const LATE_TICK_MS = 50;

/**
 * Starts a ticker that runs until it is disposed of. The first tick comes after
 * one period, in ms.
 */
export function startTicker(periodMs: number, jobs: TickerJobs): Disposable {
  let pendingRead: Disposable | undefined;
  let lastMs = performance.now();

  function runDecide(): void {
    pendingRead = undefined;
    lastMs = performance.now();
    jobs.decide();
  }

  function tick(): void {
    jobs.measure?.();
    if (pendingRead !== undefined) return;
    const lateMs = performance.now() - lastMs - periodMs;
    if (lateMs > LATE_TICK_MS) pendingRead = runAfterPendingReads(runDecide);
    else runDecide();
  }

  const timer = setInterval(tick, periodMs);
  return {
    [Symbol.dispose]() {
      clearInterval(timer);
      pendingRead?.[Symbol.dispose]();
    },
  };
}
