import { strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { createPauseLimit, type PauseStats } from "./pause_limit.ts";

const CEILING_TOKENS = 100_000;

/** A limit that has seen nothing, beside others that have seen what is given. */
function createFixture(others: PauseStats) {
  const clock = createManualClock(1_000);
  const limit = createPauseLimit({
    nowMs: clock.monotonicMs,
    getRemoteStats: () => others,
  });
  clock.advance(500);
  return limit;
}

test("a host that saw nothing comes halfway to the others at once", () => {
  // Guards against a host that starts with a limit far under the others'.
  const answers = 40;
  const others = { hosts: 2, limitTokens: 40_000 * answers, answers };
  // Late answers between narrowing and widening: no other change.
  const limit = createFixture({ ...others, lateAnswers: answers * 0.04 });
  strictEqual(limit.getLimitTokens(CEILING_TOKENS), 27_000);
});

test("hosts without answers don't hold the limit where it was", () => {
  // Guards against idle hosts whose first limit would pull all others to it.
  const first = createFixture({
    hosts: 0,
    limitTokens: 0,
    answers: 0,
    lateAnswers: 0,
  }).getLimitTokens(CEILING_TOKENS);
  const beside = createFixture({
    hosts: 60,
    limitTokens: 0,
    answers: 0,
    lateAnswers: 0,
  }).getLimitTokens(CEILING_TOKENS);
  strictEqual(beside, first);
});
