/**
 * Time as the program sees it. Durations come from the monotonic clock alone,
 * since the wall clock can jump; the wall clock only labels events.
 *
 * @module
 */

import { performance } from "node:perf_hooks";

/** The two clocks of a process; tests pass one that they move by hand. */
export interface Clock {
  /** Milliseconds since an arbitrary start; never goes back. */
  monotonicMs(): number;
  /** Milliseconds since the epoch; may jump either way. */
  wallMs(): number;
}

/** The clocks of the machine. */
export const systemClock: Clock = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
};

/** A clock that moves only when told to. */
export interface ManualClock extends Clock {
  /** Moves both clocks forward by the milliseconds given. */
  advance(ms: number): void;
}

/** Makes a clock that stands still at the milliseconds given. */
export function createManualClock(startMs = 0): ManualClock {
  let nowMs = startMs;
  return {
    monotonicMs: () => nowMs,
    wallMs: () => nowMs,
    advance(ms) {
      nowMs += ms;
    },
  };
}

/** A clock that stands still while its process does. */
export interface StallTolerantClock extends Clock {
  /** Called in each turn of the event loop. */
  tick(): void;
}

/** A turn counts for so long at most, in ms. */
const MAX_ITERATION_MS = 200;

/**
 * Makes a clock for the age of what others tell and for their silence.
 *
 * Load: a process that is stopped for seconds, or whose turns of the event loop
 * take that long. Harm prevented: what others sent meanwhile lies unread, and by
 * the process's own pause it took their last news for old: upstreams looked free
 * that others had filled, and busy ones looked silent.
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
