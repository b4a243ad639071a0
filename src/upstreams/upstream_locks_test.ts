/**
 * Tests of shared and exclusive locks on an upstream.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import fc from "fast-check";
import { runScheduled } from "../testing/fake_io.ts";
import { createUpstreamLocks, type UpstreamLocks } from "./upstream_locks.ts";

interface Run {
  readonly isExclusive: boolean;
}

const runs = fc.array(fc.record({ isExclusive: fc.boolean() }), {
  minLength: 1,
  maxLength: 8,
});

/**
 * Starts all runs at once; returns violations of exclusiveness, the runs that
 * ended, and the locks still held.
 */
async function runAll(
  s: fc.Scheduler,
  locks: UpstreamLocks,
  all: readonly Run[],
) {
  let running = 0;
  const violations: string[] = [];
  let done = 0;
  const run = ({ isExclusive }: Run) =>
    Effect.gen(function* () {
      const entered = isExclusive
        ? yield* locks.acquireExclusive("engine-1")
        : yield* Effect.as(locks.acquireShared("engine-1"), true);
      done++;
      if (!entered) return;
      running++;
      for (let step = 0; step < 3; step++) {
        yield* Effect.promise(() => s.schedule(Promise.resolve(), "work"));
        if (isExclusive && running > 1) violations.push("Runs overlapped");
      }
      running--;
      locks.release("engine-1", isExclusive);
    });
  const ended = Promise.all(
    all.map((each) => runScheduled(s, run(each), 15)),
  );
  await s.waitFor(ended);
  await ended;
  return { broken: violations, done, left: locks.getHolderCount("engine-1") };
}

test("an exclusive run overlaps with no other, and every run ends", async () => {
  await fc.assert(
    fc.asyncProperty(fc.scheduler(), runs, async (s, all) => {
      const seen = await runAll(s, createUpstreamLocks(), all);
      assert.deepEqual(seen, { broken: [], done: all.length, left: 0 });
    }),
    { numRuns: 300, seed: 1 },
  );
});

test("without locks the test detects overlapping runs", async () => {
  const open: UpstreamLocks = {
    acquireShared: () => Effect.void,
    acquireExclusive: () => Effect.succeed(true),
    release() {},
    getHolderCount: () => 0,
    runSerialized: (run) => run,
  };
  const found = await fc.check(
    fc.asyncProperty(fc.scheduler(), runs, async (s, all) => {
      assert.deepEqual((await runAll(s, open, all)).broken, []);
    }),
    { numRuns: 100, seed: 1 },
  );
  assert.ok(found.failed);
});
