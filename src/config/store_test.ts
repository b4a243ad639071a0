/**
 * Tests of the acceptance of configurations while the platform fails.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import fc from "fast-check";
import { PlatformError } from "../platform/mod.ts";
import { createFakePlatform } from "../testing/fake_platform.ts";
import { createFileSet } from "../testing/file_sets.ts";
import type { FileSet } from "./load.ts";
import {
  type AcceptRequest,
  type AcceptResult,
  createConfigStore,
  type VersionRow,
} from "./store.ts";

function createFixture() {
  const platform = createFakePlatform();
  const store = createConfigStore(platform);
  return {
    platform,
    store,
    accept: (req: Partial<AcceptRequest> & { attempt: string }) =>
      Effect.runPromise(store.accept(createRequest(req))),
    getHead: () => Effect.runPromise(store.getHead()),
  };
}

function createRequest(
  req: Partial<AcceptRequest> & { attempt: string },
): AcceptRequest {
  return {
    files: createFileSet(),
    baseVersion: 0,
    author: "ade",
    nowMs: 0,
    ...req,
  };
}

test("a write whose reply is lost is reported as accepted", async () => {
  // The write takes effect and its reply is lost. The operator must not be told
  // of a failure, or of a conflict with their own version.
  const { platform, accept } = createFixture();
  platform.control.lostReplies = 1;
  const result = await accept({ attempt: "a" });
  assert.equal(result.kind, "accepted");
});

test("a repeated attempt finds its version below a later one", async () => {
  // Ade's write takes effect, its reply is lost, and the store goes down. Bisi
  // then applies version 2 on top of version 1. Ade repeats the attempt: the
  // head is Bisi's, and only the row of version 1 shows that it was accepted.
  const { platform, accept } = createFixture();
  platform.control.lostReplies = 1;
  platform.control.downAfterWrite = true;
  const first = await accept({ attempt: "a" });
  assert.equal(first.kind, "unknown");
  platform.control.down = false;
  platform.control.downAfterWrite = false;
  const files = createFileSet({ teams: { fitters: 2 } });
  const second = await accept({ attempt: "b", baseVersion: 1, files });
  assert.equal(second.kind, "accepted");
  const again = await accept({ attempt: "a" });
  assert.equal(again.kind === "accepted" && again.row.version, 1);
});

test("a write that never reached the store is sent again", async () => {
  // The connection breaks before the store received the write. Without a second
  // write the outcome is "unknown", although the store is available.
  const { platform, accept, getHead } = createFixture();
  platform.control.lostRequests = 1;
  const result = await accept({ attempt: "a" });
  assert.equal(result.kind, "accepted");
  assert.equal((await getHead())?.version, 1);
});

test("a conflict lists the changes of both operators", async () => {
  // Ade and Bisi both start from version 1. Ade changes a weight. Bisi, later,
  // adds a team and changes the same weight. Without the list Bisi would
  // overwrite Ade's change unseen.
  const { accept } = createFixture();
  const base = createFileSet({ teams: { fitters: 1, rails: 1 } });
  const ades = createFileSet({
    teams: { fitters: 2 },
    upstreams: ["engine-1", "engine-2"],
  });
  const bisis = createFileSet({ teams: { fitters: 3, rails: 1, bars: 1 } });
  await accept({ attempt: "0", files: base });
  await accept({ attempt: "a", baseVersion: 1, files: ades });
  const result = await accept({ attempt: "b", baseVersion: 1, files: bisis });
  assert(result.kind === "conflict");
  assert.equal(result.head.version, 2);
  assert.deepEqual(
    result.details.theirs.map((each) => [each.file, each.id, each.change]),
    [
      ["teams.toml", "fitters", "changed"],
      ["teams.toml", "rails", "removed"],
      ["upstreams.toml", "engine-2", "added"],
    ],
  );
  assert.deepEqual(
    result.details.yours.map((each) => [each.id, each.change, each.keys]),
    [["fitters", "changed", ["weight"]], ["bars", "added", []]],
  );
  assert.deepEqual(result.details.overlapping.map((each) => each.id), [
    "fitters",
  ]);
});

test("files that come cut from the object store are a failure of the platform", async () => {
  const whole = JSON.stringify(createFileSet());
  const { platform } = createFixture();
  const store = createConfigStore({
    ...platform,
    objects: {
      ...platform.objects,
      tryGet: () => Effect.succeed(whole.slice(0, -1)),
    },
  });
  const err = await Effect.runPromise(Effect.flip(store.tryGetFiles("digest")));
  assert(err instanceof PlatformError);
});

test("every version stays readable with its parent, author and files", async () => {
  const { accept, store } = createFixture();
  for (let base = 0; base < 3; base++) {
    const files = createFileSet({ teams: { fitters: base + 1 } });
    await accept({
      attempt: `${base}`,
      baseVersion: base,
      files,
      author: `operator-${base}`,
    });
  }
  const history = await Effect.runPromise(store.getHistory());
  assert.deepEqual(
    history.map((row) => [row.version, row.parent, row.author]),
    [[1, 0, "operator-0"], [2, 1, "operator-1"], [3, 2, "operator-2"]],
  );
  for (const row of history) {
    const files = await Effect.runPromise(store.tryGetFiles(row.digest));
    assert.notEqual(files, undefined);
  }
});

interface Operator {
  readonly name: string;
  readonly files: FileSet;
}

/** Applies files, and repeats the attempt while its outcome is "unknown". */
async function applyUntilKnown(
  store: ReturnType<typeof createConfigStore>,
  input: { operator: Operator; baseVersion: number; attempt: string },
): Promise<AcceptResult> {
  const { operator, baseVersion, attempt } = input;
  const req = createRequest({
    attempt,
    baseVersion,
    files: operator.files,
    author: operator.name,
  });
  for (let attempts = 0;; attempts++) {
    const result = await Effect.runPromise(Effect.result(store.accept(req)));
    const isEnd = result._tag === "Success" &&
      result.success.kind !== "unknown";
    if (isEnd) return result.success;
    if (attempts > 50) throw new Error("Still unknown after 50 attempts");
  }
}

/**
 * Finds a result that an operator was given and that the record contradicts.
 */
function findContradiction(
  rows: readonly VersionRow[],
  results: readonly { attempt: string; result: AcceptResult }[],
): string | undefined {
  const attempts = rows.map((row) => row.attempt);
  for (const { attempt, result } of results) {
    const times = attempts.filter((each) => each === attempt).length;
    const expected = result.kind === "accepted" ? 1 : 0;
    if (times !== expected) {
      return `Result "${result.kind}", but accepted ${times} times`;
    }
  }
  return undefined;
}

/** Two operators apply at once; the scheduler orders the events. */
async function runRace(
  scheduler: fc.Scheduler,
  faults: { lostReplies: number; lostRequests: number },
  createStore = createConfigStore,
) {
  const platform = createFakePlatform();
  platform.control.interceptCall = (call) =>
    scheduler.schedule(Promise.resolve(), call);
  const store = createStore(platform);
  const results: { attempt: string; result: AcceptResult }[] = [];
  const runs = ["ade", "bisi"].map(async (name, index) => {
    const files = createFileSet({ teams: { [name]: index + 1 } });
    for (let round = 0; round < 2; round++) {
      const attempt = `${name}/${round}`;
      const head = await Effect.runPromise(store.getHead());
      const result = await applyUntilKnown(store, {
        operator: { name, files },
        baseVersion: head?.version ?? 0,
        attempt,
      });
      results.push({ attempt, result });
    }
  });
  Object.assign(platform.control, faults);
  await scheduler.waitFor(Promise.all(runs));
  platform.control.interceptCall = () => Promise.resolve();
  const rows = await Effect.runPromise(store.getHistory());
  return { rows, results };
}

const raceInput = [
  fc.scheduler(),
  fc.record({
    lostReplies: fc.integer({ min: 0, max: 3 }),
    lostRequests: fc.integer({ min: 0, max: 3 }),
  }),
] as const;

test("racing operators get correct results in any order of events", async () => {
  // Two operators apply at the same time while replies and requests are lost.
  // An accepted attempt has exactly one version in the record, any other has
  // none.
  await fc.assert(
    fc.asyncProperty(...raceInput, async (scheduler, faults) => {
      const { rows, results } = await runRace(scheduler, faults);
      assert.equal(findContradiction(rows, results), undefined);
      assert.deepEqual(
        rows.map((row) => row.version),
        rows.map((_, index) => index + 1),
      );
    }),
    { seed: 5, numRuns: 300 },
  );
});

test("without attempt ids racing operators get wrong results", async () => {
  // With the attempt removed from the rows, a write whose reply is lost looks
  // like the version of another operator.
  const createStoreWithoutAttempts: typeof createConfigStore = (platform) => {
    const store = createConfigStore({
      ...platform,
      tables: {
        ...platform.tables,
        get: (table, key) =>
          platform.tables.get(table, key).pipe(Effect.map((row) => ({
            ...row,
            value: row.value === null
              ? null
              : { ...row.value as VersionRow, attempt: "" },
          }))),
      },
    });
    const { getHistory } = createConfigStore(platform);
    return { ...store, getHistory };
  };
  const checked = await fc.check(
    fc.asyncProperty(...raceInput, async (scheduler, faults) => {
      const { rows, results } = await runRace(
        scheduler,
        faults,
        createStoreWithoutAttempts,
      );
      assert.equal(findContradiction(rows, results), undefined);
    }),
    { seed: 5, numRuns: 300 },
  );
  assert(checked.failed);
});
