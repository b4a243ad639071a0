/**
 * Clocks of a process. Durations are measured by the monotonic clock only,
 * since the wall clock can jump; the wall clock only labels events.
 *
 * @module
 */

import { performance } from "node:perf_hooks";

/** The clocks of a process; tests use one that they advance themselves. */
export interface Clock {
  /** Milliseconds since an arbitrary start; never decreases. */
  monotonicMs(): number;
  /** Milliseconds since the epoch; can jump forwards and backwards. */
  wallMs(): number;
}

/** The clocks of the operating system. */
export const systemClock: Clock = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
};

/** A clock for tests that moves only by calls of `advance`. */
export interface ManualClock extends Clock {
  /** Moves both clocks forward by the given milliseconds. */
  advance(ms: number): void;
  /** Steps the wall clock alone, as an operator's correction does. */
  stepWall(ms: number): void;
}

/** Makes a clock that starts at the given milliseconds. */
export function createManualClock(startMs = 0): ManualClock {
  let nowMs = startMs;
  let stepMs = 0;
  return {
    monotonicMs: () => nowMs,
    wallMs: () => nowMs + stepMs,
    advance(ms) {
      nowMs += ms;
    },
    stepWall(ms) {
      stepMs += ms;
    },
  };
}

/** A clock that does not count the time in which its process is stalled. */
export interface StallTolerantClock extends Clock {
  /** Must be called in each iteration of the event loop. */
  tick(): void;
}

/** Upper bound for the counted time of one event-loop iteration, in ms. */
const MAX_ITERATION_MS = 200;

/**
 * Makes a clock that measures the age of reports from other hosts and the time
 * since an upstream's last response.
 *
 * Load: a process that is stopped for seconds, or whose event-loop iterations
 * take that long. Failure prevented: messages that arrive during such a stall
 * are not read yet, so the process would take the reports before them for
 * outdated. It would treat upstreams that other hosts have filled as free, and
 * busy upstreams as unresponsive.
 */
export function createStallTolerantClock(clock: Clock): StallTolerantClock {
  let iterationStartMs = clock.monotonicMs();
  let elapsedMs = iterationStartMs;
  const getIterationMs = () =>
    Math.min(clock.monotonicMs() - iterationStartMs, MAX_ITERATION_MS);
  return {
    monotonicMs: () => elapsedMs + getIterationMs(),
    wallMs: clock.wallMs,
    tick() {
      elapsedMs += getIterationMs();
      iterationStartMs = clock.monotonicMs();
    },
  };
}
