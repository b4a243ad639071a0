import { strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { createPauseLimit, type PauseStats } from "./pause_limit.ts";

const CEILING_TOKENS = 100_000;

/**
 * Creates a limit without samples, with the given statistics of the other
 * hosts.
 */
function createFixture(others: PauseStats) {
  const clock = createManualClock(1_000);
  const limit = createPauseLimit({
    nowMs: clock.monotonicMs,
    getRemoteStats: () => others,
  });
  clock.advance(500);
  return limit;
}

test("a host without samples takes the others' limit at once", () => {
  // Guards against a restarted host whose limit is far below that of the
  // others.
  const answers = 40;
  const others = { hosts: 2, limitTokens: 40_000 * answers, answers };
  // A late share between both thresholds, so that nothing else changes the
  // limit.
  const limit = createFixture({ ...others, lateAnswers: answers * 0.04 });
  strictEqual(limit.getLimitTokens(CEILING_TOKENS), 40_000);
});

test("a host that starts takes a low limit before its first prompt", () => {
  // Guards against a restarted host that fills upstreams which the others spare.
  const answers = 40;
  const limit = createPauseLimit({
    nowMs: createManualClock(1_000).monotonicMs,
    getRemoteStats: () => ({
      limitTokens: 5_600 * answers,
      answers,
      lateAnswers: answers / 2,
    }),
  });
  strictEqual(limit.getLimitTokens(CEILING_TOKENS), 5_600);
});

test("a host that has learned moves halfway to the others' limit", () => {
  const clock = createManualClock(1_000);
  let others = { limitTokens: 0, answers: 0, lateAnswers: 0 };
  const limit = createPauseLimit({
    nowMs: clock.monotonicMs,
    getRemoteStats: () => others,
  });
  for (let answer = 0; answer < 50; answer++) limit.addSample(answer < 2);
  clock.advance(500);
  strictEqual(limit.getLimitTokens(CEILING_TOKENS), 14_000);
  others = { limitTokens: 40_000 * 50, answers: 50, lateAnswers: 2 };
  clock.advance(500);
  strictEqual(limit.getLimitTokens(CEILING_TOKENS), 27_000);
});

test("hosts without responses do not influence the limit", () => {
  // Guards against idle hosts whose initial limit would attract the limits of
  // all other hosts.
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
