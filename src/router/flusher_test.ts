/**
 * Tests of the flusher.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { createFlusher } from "./flusher.ts";

test("calls within the delay flush once; waiting requests keep flushing", (t) => {
  // A waiting request asks further owners over time. If flushing stopped, it
  // would wait for a slot of the first two owners while other slots are free.
  t.mock.timers.enable({ apis: ["setTimeout"] });
  let flushes = 0;
  let isWaiting = false;
  const flusher = createFlusher({
    flush: () => flushes++,
    hasWaitingRequests: () => isWaiting,
  }, 5);
  for (let each = 0; each < 10; each++) flusher.scheduleFlush();
  t.mock.timers.tick(5);
  assert.equal(flushes, 1);
  t.mock.timers.tick(100);
  assert.equal(flushes, 1);
  isWaiting = true;
  flusher.scheduleFlush();
  for (let each = 0; each < 10; each++) t.mock.timers.tick(5);
  assert.equal(flushes, 11);
  flusher[Symbol.dispose]();
  t.mock.timers.tick(100);
  assert.equal(flushes, 11);
});
