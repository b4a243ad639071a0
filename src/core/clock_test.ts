import { strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock, createStallTolerantClock } from "./clock.ts";

function createFixture() {
  const clock = createManualClock(1_000);
  const tolerantClock = createStallTolerantClock(clock);
  return {
    tolerantClock,
    /** Runs event-loop iterations of 10 ms each. */
    runIterations(durationMs: number): void {
      for (let atMs = 0; atMs < durationMs; atMs += 10) {
        clock.advance(10);
        tolerantClock.tick();
      }
    },
    stall: (durationMs: number) => clock.advance(durationMs),
  };
}

test("a stall-tolerant clock counts short iterations in full, long ones in part", () => {
  const { tolerantClock, runIterations, stall } = createFixture();
  runIterations(500);
  strictEqual(tolerantClock.monotonicMs(), 1_500);
  stall(3_000);
  strictEqual(tolerantClock.monotonicMs(), 1_700);
  tolerantClock.tick();
  runIterations(100);
  strictEqual(tolerantClock.monotonicMs(), 1_800);
});

test("a stall-tolerant clock never goes back", () => {
  const { tolerantClock, stall } = createFixture();
  stall(150);
  const before = tolerantClock.monotonicMs();
  tolerantClock.tick();
  strictEqual(tolerantClock.monotonicMs(), before);
});
