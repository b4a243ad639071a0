import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { decideNextStep, type StepInput } from "./next_step.ts";

function decide(changes: Partial<StepInput>) {
  let taken = 0;
  const step = decideNextStep({
    failure: "broken",
    kind: "stream",
    isResumable: true,
    maxAttempts: 2,
    attempts: 1,
    possibleRuns: 1,
    connectAttempts: 1,
    hasSentEvents: false,
    hasEventId: false,
    remainingMs: 1_000,
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
  // The upstream runs the booking and its answer is lost on the way back. A
  // second run would send two fitters to one door.
  deepStrictEqual(decide({ kind: "at-most-once" }), {
    step: "give-up",
    taken: 0,
  });
});

test("a booking that an upstream refused goes to another", () => {
  const input = { kind: "at-most-once", failure: "not-run", runs: 0 } as const;
  deepStrictEqual(decide(input), { step: "another-upstream", taken: 1 });
});

test("a connection that never came about costs no retry", () => {
  const input = { failure: "not-sent", attempts: 0, runs: 0 } as const;
  deepStrictEqual(decide(input), { step: "another-upstream", taken: 0 });
});

test("a stream that can't be resumed is run once", () => {
  strictEqual(decide({ isResumable: false }).step, "give-up");
});

test("a resumable stream goes on behind the last event", () => {
  const begun = { hasSentEvents: true, hasEventId: true };
  strictEqual(decide(begun).step, "resume");
  strictEqual(decide({ ...begun, hasEventId: false }).step, "give-up");
});

test("what may have run is given up where no upstream is left, at no cost", () => {
  // Guards against a 503 for it from the choice of an upstream.
  deepStrictEqual(decide({ hasCandidate: false }), {
    step: "give-up",
    taken: 0,
  });
});

test("what has not run costs no retry where no upstream takes it", () => {
  // Guards against retries of all hosts that are spent on refusals while upstreams rest.
  const input = { failure: "not-run", runs: 0, hasCandidate: false } as const;
  deepStrictEqual(decide(input), { step: "give-up", taken: 0 });
});

test("the route's number of runs is kept to", () => {
  strictEqual(decide({ possibleRuns: 2, attempts: 2 }).step, "give-up");
});

test("without budget nothing is sent again", () => {
  const step = decide({ tryTakeRetry: () => false });
  strictEqual(step.step, "give-up");
});

test("connections and refusals have a limit", () => {
  strictEqual(
    decide({ possibleRuns: 0, attempts: 0, connectAttempts: 4 }).step,
    "give-up",
  );
  strictEqual(decide({ possibleRuns: 0, attempts: 3 }).step, "give-up");
});
