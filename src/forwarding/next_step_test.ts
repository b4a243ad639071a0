import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import {
  decideNextStep,
  decideOnSilence,
  type RequestProgress,
  type StepInput,
} from "./next_step.ts";

function decide(changes: Partial<StepInput>) {
  let taken = 0;
  const step = decideNextStep({
    failure: "broken",
    kind: "stream",
    isResumable: true,
    maxAttempts: 2,
    attempts: 1,
    possibleRuns: 1,
    connects: 1,
    hasSentEvents: false,
    hasEventId: false,
    remainingMs: 1_000,
    isBlocked: false,
    isSuspect: false,
    hasCandidate: true,
    tryTakeRetry() {
      taken++;
      return true;
    },
    ...changes,
  });
  return { step: step.kind, taken };
}

test("a booking that may have run is never sent again", () => {
  // The upstream runs the booking and its response is lost. A second run would
  // send two fitters to one address.
  deepStrictEqual(decide({ kind: "at-most-once" }), {
    step: "give-up",
    taken: 0,
  });
});

test("a booking that an upstream rejected is sent to another", () => {
  const input = {
    kind: "at-most-once",
    failure: "not-run",
    possibleRuns: 0,
  } as const;
  deepStrictEqual(decide(input), { step: "another-upstream", taken: 1 });
});

test("a failed connection attempt takes nothing from the retry budget", () => {
  const input = { failure: "not-sent", attempts: 0, possibleRuns: 0 } as const;
  deepStrictEqual(decide(input), { step: "another-upstream", taken: 0 });
});

test("a stream that can't be resumed is run once", () => {
  strictEqual(decide({ isResumable: false }).step, "give-up");
});

test("a resumable stream is resumed after the last event", () => {
  const begun = { hasSentEvents: true, hasEventId: true };
  strictEqual(decide(begun).step, "resume");
  strictEqual(decide({ ...begun, hasEventId: false }).step, "give-up");
});

test("a request that may have run fails without a retry if no upstream is left", () => {
  // Guards against a 503, which promises "not run", when no upstream can be
  // picked.
  deepStrictEqual(decide({ hasCandidate: false }), {
    step: "give-up",
    taken: 0,
  });
});

test("a request that has not run takes no retry if no upstream accepts it", () => {
  // Guards against spending the fleet's retry budget on rejections while
  // upstreams have asked for a back-off.
  const input = {
    failure: "not-run",
    possibleRuns: 0,
    hasCandidate: false,
  } as const;
  deepStrictEqual(decide(input), { step: "give-up", taken: 0 });
});

test("the route's limit on attempts is respected", () => {
  strictEqual(decide({ possibleRuns: 2, attempts: 2 }).step, "give-up");
});

test("nothing is sent again when the retry budget is exhausted", () => {
  const step = decide({ tryTakeRetry: () => false });
  strictEqual(step.step, "give-up");
});

test("connection attempts and rejections are limited", () => {
  strictEqual(
    decide({ possibleRuns: 0, attempts: 0, connects: 4 }).step,
    "give-up",
  );
  strictEqual(decide({ possibleRuns: 0, attempts: 3 }).step, "give-up");
});

test("connection attempts go on while there is time for one more and an answer", () => {
  const input = { possibleRuns: 0, attempts: 0, connects: 4 } as const;
  strictEqual(
    decide({ ...input, remainingMs: 2_000 }).step,
    "another-upstream",
  );
});

test("blocked content is neither sent to another upstream nor resumed", () => {
  strictEqual(decide({ isBlocked: true }).step, "give-up");
  const begun = { hasSentEvents: true, hasEventId: true };
  deepStrictEqual(decide({ ...begun, isBlocked: true }), {
    step: "give-up",
    taken: 0,
  });
});

test("a silent attempt goes on alone whenever a failed one would be the last", () => {
  const progress: RequestProgress = {
    kind: "stream",
    isResumable: true,
    maxAttempts: 2,
    attempts: 1,
    possibleRuns: 1,
    connects: 1,
    hasSentEvents: true,
    hasEventId: true,
    remainingMs: 1_000,
    isBlocked: false,
    isSuspect: false,
    hasCandidate: true,
  };
  strictEqual(decideOnSilence(progress).kind, "seek-another");
  const changes: readonly Partial<RequestProgress>[] = [
    { hasCandidate: false },
    { possibleRuns: 2 },
    { attempts: 3 },
    { hasEventId: false },
    { isResumable: false },
    { isBlocked: true },
    { remainingMs: 10 },
  ];
  for (const each of changes) {
    strictEqual(decideOnSilence({ ...progress, ...each }).kind, "wait");
  }
});

test("a prompt that broke off as upstreams crash under its parts is not sent again", () => {
  // Guards against one prompt that takes down an upstream with each attempt.
  const suspect = { isSuspect: true, failure: "cut-off" } as const;
  strictEqual(decide(suspect).step, "give-up");
  strictEqual(decide({ isSuspect: true }).step, "another-upstream");
  strictEqual(decide({ failure: "cut-off" }).step, "another-upstream");
});
