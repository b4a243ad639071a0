import { strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { createPassPacing } from "./pass_pacing.ts";

/** Returns how many passes run in a second of ticks, each of which takes `tookMs`. */
function countPasses(tookMs: number): number {
  const clock = createManualClock();
  const pacing = createPassPacing(clock);
  let passes = 0;
  for (let atMs = 0; atMs < 1_000; atMs += 10) {
    clock.advance(Math.max(0, atMs - clock.monotonicMs()));
    pacing.run(() => {
      passes++;
      clock.advance(tookMs);
    });
  }
  return passes;
}

test("passes take a tenth of the time at most, and come often enough however long they take", () => {
  // Guards against a busy host that spends its processor time on going through waiting prompts.
  strictEqual(countPasses(0.2), 100);
  strictEqual(countPasses(2), 50);
  strictEqual(countPasses(20), 20);
});
