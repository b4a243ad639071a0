/**
 * Tests of the results that later attempts with a key get, and of expired
 * claims.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { createManualClock } from "../core/mod.ts";
import type { TableService } from "../platform/mod.ts";
import { createFakeStore } from "../testing/fake_io.ts";
import { CLAIM_RETENTION_MS, createClaims, getClaimKey } from "./claims.ts";
import type { Claim, ClaimResult } from "./types.ts";

const keyInput = {
  team: "alder",
  service: "desk",
  operation: "book",
  idempotencyKey: "visit-1",
};

function createFixture() {
  const store = createFakeStore();
  const clock = createManualClock(1_000_000);
  const tables: TableService = {
    transact: (writes) => Effect.sync(() => store.transact(writes)),
    get: (table, key) => Effect.sync(() => store.get(table, key)),
    list: (table, prefix) => Effect.sync(() => store.list(table, prefix)),
  };
  const prefix = parseInt(getClaimKey(keyInput).slice(0, 3), 16);
  const claims = createClaims({
    id: "entry-1",
    incarnation: 1,
    clock,
    tables,
    random: () => prefix / 4096,
  });
  const create = (attempt: string, fingerprint = "content-1") =>
    claims.create({ ...keyInput, fingerprint, attempt });
  const countRows = () => store.list("claims", "").length;
  return { claims, clock, create, countRows };
}

function acquire(claim: Claim): Promise<ClaimResult> {
  return Effect.runPromise(claim.acquire);
}

test("a later attempt gets the state and the response of the first", async () => {
  const { create } = createFixture();
  const first = create("1");
  assert.equal((await acquire(first)).kind, "claimed");
  assert.equal((await acquire(create("2"))).kind, "under-way");
  assert.equal((await acquire(create("3", "content-2"))).kind, "other-content");
  const end = { status: 200, body: "confirmed" };
  await Effect.runPromise(first.recordEnd(end));
  assert.deepEqual(await acquire(create("4")), { kind: "ended", end });
});

test("a released claim can be acquired, an unknown one cannot", async () => {
  const { create } = createFixture();
  const first = create("1");
  await acquire(first);
  await Effect.runPromise(first.release());
  const second = create("2");
  assert.equal((await acquire(second)).kind, "claimed");
  await Effect.runPromise(second.recordUnknown());
  assert.equal((await acquire(create("3"))).kind, "unknown");
  // A late release by the first attempt must not undo the second one's record.
  await Effect.runPromise(first.release());
  assert.equal((await acquire(create("4"))).kind, "unknown");
});

test("an expired claim is swept and its key can be claimed again", async () => {
  const { claims, clock, create, countRows } = createFixture();
  const first = create("1");
  await acquire(first);
  await Effect.runPromise(first.recordEnd({ status: 200, body: "confirmed" }));
  clock.advance(CLAIM_RETENTION_MS - 1);
  assert.equal((await acquire(create("2"))).kind, "ended");
  assert.equal(await Effect.runPromise(claims.sweep), 0);
  clock.advance(1);
  assert.equal(await Effect.runPromise(claims.sweep), 1);
  assert.equal(countRows(), 0);
  assert.equal((await acquire(create("3"))).kind, "claimed");
});
