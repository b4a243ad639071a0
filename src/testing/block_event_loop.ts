/**
 * Long turns of the event loop, for tests.
 *
 * @module
 */

import { performance } from "node:perf_hooks";

/** Keeps this process from reading anything for so long, in ms. */
export function blockEventLoop(durationMs: number): void {
  const untilMs = performance.now() + durationMs;
  while (performance.now() < untilMs);
}
