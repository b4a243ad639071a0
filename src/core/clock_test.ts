import { strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock, createStallTolerantClock } from "./clock.ts";

function createFixture() {
  const clock = createManualClock(1_000);
  const tolerant = createStallTolerantClock(clock);
  return {
    working: tolerant,
    /** Turns of ten ms each, for so long. */
    work(durationMs: number): void {
      for (let atMs = 0; atMs < durationMs; atMs += 10) {
        clock.advance(10);
        tolerant.tick();
      }
    },
    pause: (forMs: number) => clock.advance(forMs),
  };
}

test("a working clock goes on in short turns and stands still in a long one", () => {
  const { working, work, pause } = createFixture();
  work(500);
  strictEqual(working.monotonicMs(), 1_500);
  pause(3_000);
  strictEqual(working.monotonicMs(), 1_700);
  working.tick();
  work(100);
  strictEqual(working.monotonicMs(), 1_800);
});

test("a working clock never goes back", () => {
  const { working, pause } = createFixture();
  pause(150);
  const before = working.monotonicMs();
  working.tick();
  strictEqual(working.monotonicMs(), before);
});
