/**
 * Measures the share of the time in which the event loop of this process was
 * active, smoothed over consecutive windows.
 *
 * Load: a host with a quarter of a core to which callers open all their
 * connections. Failure prevented: a decision by a single long iteration would
 * hand connections off because of one large request, and a decision by the
 * processor time alone would miss the time for which the process is throttled.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";

/**
 * Accumulated times of the event loop since its start, in ms, as
 * `performance.eventLoopUtilization` returns them.
 */
export interface LoopTimes {
  readonly idle: number;
  readonly active: number;
}

/** The smoothed utilization of the event loop. */
export interface EventLoopUtilization {
  /** Called by a timer, many times per window. */
  tick(): void;
  /** From 0, always idle, to 1, always active. */
  get(): number;
}

/** Minimum length of the window over which a sample is taken, in ms. */
export const UTILIZATION_WINDOW_MS = 250;

/**
 * Time after which the weight of earlier samples has halved, in ms. A window
 * that a long iteration extended weighs more accordingly.
 */
const HALF_LIFE_MS = 250;

/** Creates the utilization of a process that has been idle so far. */
export function createEventLoopUtilization(
  clock: Clock,
  readTimes: () => LoopTimes,
): EventLoopUtilization {
  let windowStartMs = clock.monotonicMs();
  let startTimes = readTimes();
  let utilization = 0;

  function endWindow(elapsedMs: number): void {
    const times = readTimes();
    const activeMs = times.active - startTimes.active;
    const totalMs = activeMs + times.idle - startTimes.idle;
    const sample = totalMs > 0 ? activeMs / totalMs : 0;
    const oldWeight = 2 ** (-elapsedMs / HALF_LIFE_MS);
    utilization = utilization * oldWeight + sample * (1 - oldWeight);
    startTimes = times;
  }

  return {
    get: () => utilization,
    tick() {
      const nowMs = clock.monotonicMs();
      const elapsedMs = nowMs - windowStartMs;
      if (elapsedMs < UTILIZATION_WINDOW_MS) return;
      endWindow(elapsedMs);
      windowStartMs = nowMs;
    },
  };
}
