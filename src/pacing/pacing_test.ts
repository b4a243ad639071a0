import { ok } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { createPacing } from "./pacing.ts";
import { createFirstEventModel } from "./first_event_model.ts";
import { MIN_TOKENS } from "./pause_limit.ts";
import { EMPTY_FIRST_EVENT_SUMS, EMPTY_PACING_STATS } from "./types.ts";

const TARGET_MS = 800;

/** Creates the pacing of a service whose engines prefill at the given speed. */
function createFixture(msPerToken: number) {
  const clock = createManualClock(1_000);
  const pacing = createPacing({
    nowMs: clock.monotonicMs,
    getRemoteStats: () => EMPTY_PACING_STATS,
    onChanged: () => {},
  });
  const getLimit = () => pacing.getLimitTokens(TARGET_MS);
  return {
    pacing,
    getLimit,
    /**
     * Simulates ten prompts a second; `lateShare` of the responses pause too
     * long.
     */
    play(seconds: number, lateShare: number): void {
      for (let at = 0; at < seconds * 10; at++) {
        const tokens = 2_000 + (at * 1_700) % 20_000;
        pacing.recordFirstEvent(tokens, 100 + tokens * msPerToken);
        pacing.recordPause((at * 7) % 100 < lateShare * 100);
        clock.advance(100);
        getLimit();
      }
    },
  };
}

test("the limit increases to what is prefilled in time while no response pauses", () => {
  // Guards against refusing long prompts while engines could prefill twice as
  // much.
  const fixture = createFixture(0.018);
  fixture.play(15, 0);
  const inTime = (TARGET_MS * 0.75 - 100) / 0.018;
  const limit = fixture.getLimit();
  ok(limit > inTime * 0.9 && limit < inTime * 1.1, `${limit} of ${inTime}`);
});

test("engines that prefill half as fast get half the limit", () => {
  const fast = createFixture(0.018);
  const slow = createFixture(0.036);
  fast.play(15, 0);
  slow.play(15, 0);
  const ratio = slow.getLimit() / fast.getLimit();
  ok(ratio > 0.45 && ratio < 0.55, `${ratio}`);
});

test("the limit decreases while responses pause too long, and recovers", () => {
  // Guards against responses that pause while engines prefill long prompts
  // beside them.
  const fixture = createFixture(0.018);
  fixture.play(15, 0);
  const wide = fixture.getLimit();
  fixture.play(5, 0.25);
  ok(fixture.getLimit() < wide / 2);
  fixture.play(60, 1);
  ok(fixture.getLimit() >= MIN_TOKENS);
  fixture.play(30, 0);
  ok(fixture.getLimit() > wide * 0.9);
});

test("upstreams that never respond do not push the limit below its minimum", () => {
  // Half of the engines hang: their first events would arrive after minutes.
  const fixture = createFixture(1);
  fixture.play(15, 0);
  ok(fixture.getLimit() >= MIN_TOKENS);
});

test("the time to prefill a token is learned", () => {
  // Guards against fetches that take longer than the prefill at a fast engine.
  const { pacing, play } = createFixture(0.01);
  play(15, 0);
  const msPerToken = pacing.getMsPerToken();
  ok(msPerToken > 0.009 && msPerToken < 0.012, `${msPerToken}`);
});

test("the model predicts within a tenth where prompts differ in size", () => {
  const clock = createManualClock(1_000);
  const model = createFirstEventModel({
    nowMs: clock.monotonicMs,
    getRemoteSums: () => EMPTY_FIRST_EVENT_SUMS,
  });
  for (let at = 0; at < 200; at++) {
    const tokens = (at * 3_700) % 30_000;
    const noiseMs = ((at * 37) % 100) - 50;
    model.addSample(tokens, 150 + tokens * 0.02 + noiseMs);
    clock.advance(50);
  }
  for (const tokens of [5_000, 10_000, 30_000]) {
    const expected = 150 + tokens * 0.02;
    const predicted = model.predictMs(tokens);
    ok(Math.abs(predicted - expected) < expected / 10, `${predicted}`);
  }
});
