/**
 * Blocks the event loop, for tests of stalls.
 *
 * @module
 */

import { performance } from "node:perf_hooks";

/** Busy-waits for the duration in ms, during which no event is handled. */
export function blockEventLoop(durationMs: number): void {
  const untilMs = performance.now() + durationMs;
  while (performance.now() < untilMs);
}
