/**
 * Tests of what a second attempt with a key is told, and of old claims.
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

test("a second attempt is told what became of the first", async () => {
  const { create } = createFixture();
  const first = create("1");
  assert.equal((await acquire(first)).kind, "claimed");
  assert.equal((await acquire(create("2"))).kind, "under-way");
  assert.equal((await acquire(create("3", "content-2"))).kind, "other-content");
  const end = { status: 200, body: "confirmed" };
  await Effect.runPromise(first.recordEnd(end));
  assert.deepEqual(await acquire(create("4")), { kind: "ended", end });
});

test("a released claim can be taken, an unknown one never", async () => {
  const { create } = createFixture();
  const first = create("1");
  await acquire(first);
  await Effect.runPromise(first.release());
  const second = create("2");
  assert.equal((await acquire(second)).kind, "claimed");
  await Effect.runPromise(second.recordUnknown());
  assert.equal((await acquire(create("3"))).kind, "unknown");
  // The first attempt is over; its word must not undo the second's.
  await Effect.runPromise(first.release());
  assert.equal((await acquire(create("4"))).kind, "unknown");
});

test("an old key counts as new, and its row is swept", async () => {
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
