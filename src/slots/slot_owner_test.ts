/**
 * Tests the grants of a slot owner.
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
  // Guards against slots that are lost with their host: a host that held all
  // slots died without releasing them, so requests waited at idle engines.
  const { owner, grants } = createOwnerFixture(1);
  want(owner, "entry-1", "alder", 1);
  want(owner, "entry-2", "birch", 1);
  assert.equal(grants.length, 1);
  owner.removeHost("entry-1");
  assert.deepEqual(grants.map((each) => each.to), ["entry-1", "entry-2"]);
  assert.equal(owner.getInUse(), 1);
});

test("a release that arrives twice frees one slot", () => {
  const { owner, grants } = createOwnerFixture(1);
  want(owner, "entry-1", "alder", 3);
  release(owner, "entry-1", grants[0]!.grant, 1);
  release(owner, "entry-1", grants[0]!.grant, 1);
  assert.equal(grants.length, 2);
  assert.equal(owner.getInUse(), 1);
});

test("a slot is granted to the next host when a host is not connected", () => {
  // Guards against a slot that stays idle while a request waits: the owner
  // granted it to a host whose connection had just broken, and would notice
  // only when the host is found dead.
  const { owner, grants, unreachable } = createOwnerFixture(1);
  unreachable.add("entry-1");
  want(owner, "entry-1", "alder", 1);
  want(owner, "entry-2", "birch", 1);
  assert.deepEqual(grants.map((each) => each.to), ["entry-2"]);
  assert.equal(owner.getInUse(), 1);
});

test("a host keeps its slot until a request waits at another host", () => {
  const { owner, grants, recalls } = createOwnerFixture(1);
  want(owner, "entry-1", "alder", 1);
  assert.equal(grants[0]!.grant.keep, true);
  want(owner, "entry-2", "birch", 1);
  want(owner, "entry-3", "birch", 1);
  assert.deepEqual(recalls.map((each) => each.to), ["entry-1"]);
});

test("a team in another region goes first only if its counter is lower by the penalty", () => {
  const { owner, grants } = createOwnerFixture(1);
  want(owner, "entry-1", "alder", 9);
  want(owner, "far-1", "birch", 1);
  release(owner, "entry-1", grants[0]!.grant, 99);
  assert.equal(grants[1]!.to, "entry-1");
  release(owner, "entry-1", grants[1]!.grant, 2);
  assert.equal(grants[2]!.to, "far-1");
});

test("a full request replaces a host's held slots and requests", () => {
  // Guards against engines that stay idle: a host restarted without slots, and
  // the owner still counted the slots that it had held before.
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

test("a request reported after its slot was released is not in flight", () => {
  // Requests on kept slots are reported in batches, in the frame that also
  // returns their slots but processed after the return. Guards against counting
  // them as in flight for ever: with an open circuit breaker, each probe then
  // let a dozen requests through.
  const { owner, grants, inFlight } = createOwnerFixture(4);
  want(owner, "entry-1", "alder", 1);
  const { grant } = grants[0]!;
  release(owner, "entry-1", grant, 5);
  const use = { slot: grant.slot, firstByteMs: 10, tokenIntervalMs: 0 };
  owner.receiveKeptUses({ upstream: "engine-1", uses: [use] });
  assert.deepEqual([...inFlight], []);
});

test("requests of a dead or restarted host are not in flight", () => {
  // One host dies, another restarts and reports that it holds no slots. Guards
  // against a limit that goes on counting their requests.
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
