/**
 * Tests of the owner's grants.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import { createOwnerFixture } from "../testing/slot_owner_fixture.ts";
import type { SlotOwner } from "./slot_owner.ts";
import type { Grant } from "./types.ts";

function want(owner: SlotOwner, host: string, team: string, waiting: number) {
  owner.receiveRequest(host, {
    upstream: "engine-1",
    wants: [{ team, waiting, ageMs: 0 }],
    full: false,
    held: [],
  });
}

function release(owner: SlotOwner, host: string, grant: Grant, cost: number) {
  owner.receiveRelease(host, {
    ...grant,
    cost,
    firstByteMs: 10,
    result: "answered",
  });
}

test("a freed slot goes to the team with the least service", () => {
  const { owner, grants } = createOwnerFixture(1);
  want(owner, "entry-1", "alder", 2);
  want(owner, "entry-2", "birch", 1);
  release(owner, "entry-1", grants[0]!.grant, 50);
  assert.deepEqual(
    grants.map((each) => [each.to, each.grant.team]),
    [["entry-1", "alder"], ["entry-2", "birch"]],
  );
});

test("a dead host's slots are granted again", () => {
  // A user's request waits although engines idle: the host that held all the
  // slots died without giving them back, and nobody else may use them.
  const { owner, grants } = createOwnerFixture(1);
  want(owner, "entry-1", "alder", 1);
  want(owner, "entry-2", "birch", 1);
  assert.equal(grants.length, 1);
  owner.removeHost("entry-1");
  assert.deepEqual(grants.map((each) => each.to), ["entry-1", "entry-2"]);
  assert.equal(owner.getInUse(), 1);
});

test("a release that comes twice frees one slot", () => {
  const { owner, grants } = createOwnerFixture(1);
  want(owner, "entry-1", "alder", 3);
  release(owner, "entry-1", grants[0]!.grant, 1);
  release(owner, "entry-1", grants[0]!.grant, 1);
  assert.equal(grants.length, 2);
  assert.equal(owner.getInUse(), 1);
});

test("a grant to a host without a link goes to the next host at once", () => {
  // A request waits although a slot is free: the owner granted it to a host
  // whose link had just broken, and would notice when the host is found dead.
  const { owner, grants, unreachable } = createOwnerFixture(1);
  unreachable.add("entry-1");
  want(owner, "entry-1", "alder", 1);
  want(owner, "entry-2", "birch", 1);
  assert.deepEqual(grants.map((each) => each.to), ["entry-2"]);
  assert.equal(owner.getInUse(), 1);
});

test("a host keeps its slot until another waits", () => {
  const { owner, grants, recalls } = createOwnerFixture(1);
  want(owner, "entry-1", "alder", 1);
  assert.equal(grants[0]!.grant.keep, true);
  want(owner, "entry-2", "birch", 1);
  want(owner, "entry-3", "birch", 1);
  assert.deepEqual(recalls.map((each) => each.to), ["entry-1"]);
});

test("the other region goes first only when it is behind by the penalty", () => {
  const { owner, grants } = createOwnerFixture(1);
  want(owner, "entry-1", "alder", 9);
  want(owner, "far-1", "birch", 1);
  release(owner, "entry-1", grants[0]!.grant, 99);
  assert.equal(grants[1]!.to, "entry-1");
  release(owner, "entry-1", grants[1]!.grant, 2);
  assert.equal(grants[2]!.to, "far-1");
});

test("a host that declares anew replaces what it held and wanted", () => {
  // Engines idle for good: a host restarted empty, and the owner still counts
  // the slots that it held before.
  const { owner, grants } = createOwnerFixture(2);
  want(owner, "entry-1", "alder", 2);
  owner.receiveRequest("entry-1", {
    upstream: "engine-1",
    wants: [],
    full: true,
    held: [{ slot: grants[1]!.grant.slot, team: "alder" }],
  });
  assert.equal(owner.getInUse(), 1);
});

test("a use told after its slot came back is not in flight", () => {
  // An engine is silent and taken out. Uses of kept slots are told in batches,
  // in the same frame as the return of their slots but read after it. They
  // counted as in flight for good, and each probe let a dozen requests through.
  const { owner, grants, inFlight } = createOwnerFixture(4);
  want(owner, "entry-1", "alder", 1);
  const { grant } = grants[0]!;
  release(owner, "entry-1", grant, 5);
  const use = { slot: grant.slot, firstByteMs: 10, tokenIntervalMs: 0 };
  owner.receiveKeptUses({ upstream: "engine-1", uses: [use] });
  assert.deepEqual([...inFlight], []);
});

test("what a host lost is not in flight", () => {
  // A host dies, another restarts and declares that it holds nothing. The limit
  // went on counting their requests.
  const { owner, inFlight } = createOwnerFixture(4);
  want(owner, "entry-1", "alder", 2);
  want(owner, "entry-2", "birch", 2);
  assert.equal(inFlight.size, 4);
  owner.removeHost("entry-1");
  assert.equal(inFlight.size, 2);
  const declared = { upstream: "engine-1", wants: [], full: true, held: [] };
  owner.receiveRequest("entry-2", declared);
  assert.equal(inFlight.size, 0);
});
