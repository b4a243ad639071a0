import { ok } from "node:assert";
import { performance } from "node:perf_hooks";
import { test } from "node:test";
import { startTicker } from "./ticker.ts";

const PERIOD_MS = 5;
const TICKS = 60;

/** Turns of this process's event loop so far. */
function getTurns(): number {
  const timing = performance.nodeTiming as unknown as {
    readonly uvMetricsInfo: { readonly loopCount: number };
  };
  return timing.uvMetricsInfo.loopCount;
}

test("each look at the queue takes one turn of the event loop", async () => {
  // Guards against idle hosts that pay for two. Turns a tick before and now: 2, 1.
  const startTurns = getTurns();
  let ticks = 0;
  await new Promise<void>((resolve) => {
    const ticker = startTicker(PERIOD_MS, {
      decide() {
        if (++ticks < TICKS) return;
        ticker[Symbol.dispose]();
        resolve();
      },
    });
  });
  const perTick = (getTurns() - startTurns) / TICKS;
  ok(perTick < 1.5, `${perTick} turns a tick`);
});
