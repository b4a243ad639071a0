/**
 * Tests of accepting configurations on a store that fails.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import fc from "fast-check";
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

test("a write whose reply is lost is known to be accepted", async () => {
  // An operator applies files; the write takes effect, its reply is lost. The
  // operator must not be told of a failure, or of a conflict with himself.
  const { platform, accept } = createFixture();
  platform.control.lostReplies = 1;
  const result = await accept({ attempt: "a" });
  assert.equal(result.kind, "accepted");
});

test("a lost reply is known again below another's version", async () => {
  // Ade's write takes effect, its reply is lost, and the store goes down. Bisi
  // sees version 1 and puts version 2 on top. Ade asks again: the head is
  // Bisi's, and only the row of version 1 tells that it was accepted.
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

test("a request that is lost on its way is sent again", async () => {
  // The connection breaks before the store saw the write. Without a second
  // write the operator is told "unknown" although nothing stands in the way.
  const { platform, accept, getHead } = createFixture();
  platform.control.lostRequests = 1;
  const result = await accept({ attempt: "a" });
  assert.equal(result.kind, "accepted");
  assert.equal((await getHead())?.version, 1);
});

test("the second of two operators learns what differs", async () => {
  // Ade and Bisi both saw version 1. Ade changes a weight; Bisi, later, adds a
  // team and changes the same weight. Bisi must see Ade's change by name, or
  // would overwrite it unread.
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

/** Lets an operator act as told: retries "unknown" with the same attempt. */
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
    if (attempts > 50) throw new Error("The store never answers");
  }
}

/** What is wrong with a record and what its operators were told. */
function findContradiction(
  rows: readonly VersionRow[],
  results: readonly { attempt: string; result: AcceptResult }[],
): string | undefined {
  const attempts = rows.map((row) => row.attempt);
  for (const { attempt, result } of results) {
    const times = attempts.filter((each) => each === attempt).length;
    const expected = result.kind === "accepted" ? 1 : 0;
    if (times !== expected) {
      return `Told "${result.kind}", accepted ${times} times`;
    }
  }
  return undefined;
}

/** Two operators race, with lost messages, in the scheduler's order. */
async function runRace(
  scheduler: fc.Scheduler,
  faults: { lostReplies: number; lostRequests: number },
  createStore = createConfigStore,
) {
  const platform = createFakePlatform();
  platform.control.pass = (call) => scheduler.schedule(Promise.resolve(), call);
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
  platform.control.pass = () => Promise.resolve();
  const rows = await Effect.runPromise(store.getHistory());
  return { rows, told: results };
}

const raceInput = [
  fc.scheduler(),
  fc.record({
    lostReplies: fc.integer({ min: 0, max: 3 }),
    lostRequests: fc.integer({ min: 0, max: 3 }),
  }),
] as const;

test("racing operators are told the truth in any order of events", async () => {
  // Two operators apply at the same time while replies and requests get lost.
  // Whoever is told "accepted" has exactly one version, the other one none.
  await fc.assert(
    fc.asyncProperty(...raceInput, async (scheduler, faults) => {
      const { rows, told } = await runRace(scheduler, faults);
      assert.equal(findContradiction(rows, told), undefined);
      assert.deepEqual(
        rows.map((row) => row.version),
        rows.map((_, index) => index + 1),
      );
    }),
    { seed: 5, numRuns: 300 },
  );
});

test("without attempt ids the race is seen to go wrong", async () => {
  // The mechanism switched off: rows forget their attempt, so that a lost reply
  // looks like another's version.
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
      const { rows, told } = await runRace(
        scheduler,
        faults,
        createStoreWithoutAttempts,
      );
      assert.equal(findContradiction(rows, told), undefined);
    }),
    { seed: 5, numRuns: 300 },
  );
  assert(checked.failed);
});
