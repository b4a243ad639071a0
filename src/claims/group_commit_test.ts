/**
 * Tests of the group commit.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  createFakeStore,
  createFakeTableService,
  createIo,
  type IoFault,
  runScheduled,
  runUntilIdle,
} from "../testing/fake_io.ts";
import { createGroupCommit, type WriteResult } from "./group_commit.ts";

function createFixture(s: fc.Scheduler, faults: readonly IoFault[]) {
  const store = createFakeStore();
  const counts = { transactions: 0 };
  const countingStore = {
    ...store,
    transact(writes: Parameters<typeof store.transact>[0]) {
      counts.transactions++;
      return store.transact(writes);
    },
  };
  const io = createIo(s, { faults, crashesAtCall: 0 });
  const commit = createGroupCommit(createFakeTableService(countingStore, io));
  let writes = 0;

  function write(key: string): Promise<WriteResult> {
    writes++;
    const value = { writeId: `write-${writes}` };
    return runScheduled(
      s,
      commit.write({ table: "t", key, expectedVersion: 0, value }),
      15,
    );
  }
  return { store, counts, write };
}

test("writes during a transaction are committed together in the next", async () => {
  await fc.assert(
    fc.asyncProperty(fc.scheduler(), async (s) => {
      const { counts, write } = createFixture(s, []);
      const keys = Array.from({ length: 20 }, (_, index) => `key-${index}`);
      const all = Promise.all(keys.map(write));
      await s.waitFor(all);
      for (const result of await all) assert.equal(result.kind, "committed");
      assert.equal(counts.transactions, 2);
    }),
    { numRuns: 20, seed: 1 },
  );
});

test("a conflict of one write does not fail the others", async () => {
  // Guards against a retried request whose conflict fails all claims that share
  // its transaction.
  await fc.assert(
    fc.asyncProperty(fc.scheduler(), async (s) => {
      const { store, write } = createFixture(s, []);
      const value = { writeId: "earlier" };
      store.transact([{ table: "t", key: "b", expectedVersion: 0, value }]);
      const all = Promise.all(["a", "b", "c"].map(write));
      await s.waitFor(all);
      const kinds = (await all).map((result) => result.kind);
      assert.deepEqual(kinds, ["committed", "conflict", "committed"]);
    }),
    { numRuns: 20, seed: 1 },
  );
});

test("the reported result of a write matches the stored row", async () => {
  // Guards against a lost reply of a transaction after which writes that took
  // effect are reported as conflicts, or the reverse.
  const fault = fc.constantFrom<IoFault>(
    "none",
    "refused",
    "lost-before",
    "lost-after",
    "late",
  );
  await fc.assert(
    fc.asyncProperty(
      fc.scheduler(),
      fc.array(fault, { maxLength: 8 }),
      fc.array(fc.constantFrom("a", "b", "c"), { minLength: 1, maxLength: 8 }),
      async (s, faults, keys) => {
        const { store, write } = createFixture(s, faults);
        const all = Promise.all(keys.map(write));
        await s.waitFor(all);
        await runUntilIdle(s);
        const results = await all;
        for (const [index, result] of results.entries()) {
          const row = store.get("t", keys[index]!);
          const value = row.value as { writeId: string } | null;
          const isWritten = value?.writeId === `write-${index + 1}`;
          if (result.kind === "committed") assert.ok(isWritten);
          if (result.kind === "conflict") assert.ok(!isWritten);
        }
      },
    ),
    { numRuns: 500, seed: 1 },
  );
});
