/**
 * Hybrid logical clock: its timestamps order the events of all processes
 * causally and stay close to the wall clock. A timestamp is one number: wall
 * milliseconds times 2^10 plus a counter. It stays below 2^53, and so is an
 * exact JavaScript number, until the year 2248.
 *
 * @module
 */

import type { Clock } from "./clock.ts";

/** Number of timestamps within one wall millisecond. */
export const COUNTER_RANGE = 1024;

/** The hybrid logical clock of one process. */
export interface HybridClock {
  /** Returns the timestamp of a local event, later than all previous ones. */
  tick(): number;
  /** Advances the clock to the timestamp of a received message. */
  receive(stamp: number): void;
}

/** Makes a hybrid logical clock that is based on the given wall clock. */
export function createHybridClock(clock: Clock): HybridClock {
  let last = 0;
  return {
    tick() {
      last = Math.max(last + 1, Math.floor(clock.wallMs()) * COUNTER_RANGE);
      return last;
    },
    receive(stamp) {
      last = Math.max(last, stamp);
    },
  };
}

/** The wall time of a timestamp in milliseconds since the epoch. */
export function getWallMs(stamp: number): number {
  return Math.floor(stamp / COUNTER_RANGE);
}
