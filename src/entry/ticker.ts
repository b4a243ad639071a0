/**
 * Runs short functions again and again, once in a turn of the event loop: first
 * what watches the turns themselves, then what decides by what has been read.
 *
 * Load: 90 hosts that look at their queues a hundred times a second, day and
 * night. Harm prevented: as a fiber that sleeps, each look takes two turns and
 * twice the processor time, which idle hosts pay for nothing and a busy host
 * lacks for its callers. After a long turn, or a pause of the process, a look at
 * once would decide by what was true before it; see `core/read_first.ts`.
 *
 * @module
 */

import { performance } from "node:perf_hooks";
import { afterReading } from "../core/mod.ts";

/** What a ticker runs. */
export interface TickerJobs {
  /** In each tick, however late; looks at time alone. */
  measure?(): void;
  /** In each tick, after a late one only when sockets have been read. */
  decide(): void;
}

/** A tick that comes later than this, in ms, reads before it decides. */
const LATE_TICK_MS = 50;

/** Runs until it is disposed of; the first time after one period, in ms. */
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
    if (lateMs > LATE_TICK_MS) pendingRead = afterReading(runDecide);
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
