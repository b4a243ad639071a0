import { ok } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { createUpstreamPacing } from "./upstream_pacing.ts";
import { EMPTY_UPSTREAM_STATS } from "./upstream_stats.ts";

test("a limit recovers after a slow period without samples of pauses", () => {
  // Guards against an upstream that stays nearly idle after it was slow.
  const clock = createManualClock(1_000);
  const pacing = createUpstreamPacing({
    nowMs: clock.monotonicMs,
    initialTokens: 14_000,
    getInTimeTokens: () => 30_000,
    getRemoteStats: () => EMPTY_UPSTREAM_STATS,
    onLimitChanged() {},
    onWeightChanged() {},
  });

  function play(seconds: number, slowness: number): number {
    for (let at = 0; at < seconds * 5; at++) {
      pacing.recordFirstEvent(300, 300 * slowness);
      clock.advance(200);
      pacing.getLimitTokens(800);
      if (at % 5 === 0) pacing.update();
    }
    return pacing.getLimitTokens(800);
  }

  const before = play(20, 1);
  const during = play(20, 4);
  const after = play(300, 1);
  ok(during < before, `${during} of ${before}`);
  ok(after > before * 0.95, `${after} of ${before}`);
});
