/**
 * Tests the entry host's side of slots.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import type { AdmittedRequest, Upstream } from "../types.ts";
import { createSlotClient, type SlotHandle } from "./slot_client.ts";
import type { Grant, Release, SlotRequest } from "./types.ts";

function createUpstream(id: string): Upstream {
  return {
    id,
    service: "drafting",
    dataCentre: "lekki",
    address: "",
    maxSlots: 4,
    fencing: "checks",
  };
}

function createFixture(count: number) {
  const upstreams = Array.from(
    { length: count },
    (_, index) => createUpstream(`engine-${index + 1}`),
  );
  const requests: SlotRequest[] = [];
  const releases: Release[] = [];
  const leaving = new Set<string>();
  const time = { nowMs: 0 };
  const client = createSlotClient({
    nowMs: () => time.nowMs,
    getCandidates: () => ({ sameRegion: upstreams, otherRegions: [] }),
    tryGetUpstream: (id) => upstreams.find((each) => each.id === id),
    isLeaving: (id) => leaving.has(id),
    sendRequest: (req) => requests.push(req),
    sendRelease: (release) => releases.push(release),
    sendKeptUses() {},
    onFreeHint() {},
  });
  return { client, requests, releases, leaving, time };
}

function createRequest(id: string): AdmittedRequest {
  return {
    id,
    team: "fitters",
    service: "drafting",
    operation: "",
    arrivedMs: 0,
    deadlineMs: 1e9,
    expectedCost: 1,
    fingerprint: "",
  };
}

function createGrant(slot: number, keep: boolean): Grant {
  return { upstream: "engine-1", slot, team: "fitters", keep, free: 0 };
}

const ANSWERED = { cost: 1, firstByteMs: 5, result: "answered" as const };

test("a kept slot serves the next request without a message", () => {
  const { client, requests, releases } = createFixture(1);
  const handles: SlotHandle[] = [];
  client.acquire(createRequest("r1"), (handle) => handles.push(handle));
  client.flush();
  client.receiveGrant(createGrant(1, true));
  handles[0]!.release(ANSWERED);
  client.flush();
  const told = requests.length;
  client.acquire(createRequest("r2"), (handle) => handles.push(handle));
  client.flush();
  assert.equal(handles.length, 2);
  assert.equal(requests.length, told);
  assert.deepEqual(releases, []);
});

test("a kept slot is not reused at an upstream that is being drained", () => {
  // An engine is drained for an upgrade. Guards against a host that reuses a
  // slot kept there for a new request, which is cut off when the engine stops.
  const { client, releases, leaving } = createFixture(1);
  const handles: SlotHandle[] = [];
  client.acquire(createRequest("r1"), (handle) => handles.push(handle));
  client.flush();
  client.receiveGrant(createGrant(1, true));
  handles[0]!.release(ANSWERED);
  leaving.add("engine-1");
  client.acquire(createRequest("r2"), (handle) => handles.push(handle));
  assert.equal(handles.length, 1);
  assert.deepEqual(releases.map((each) => each.slot), [1]);
});

test("kept slots are released when recalled or idle for too long", () => {
  const { client, releases, time } = createFixture(1);
  client.receiveGrant(createGrant(1, true));
  client.receiveRecall({ upstream: "engine-1", redeclare: false });
  client.receiveGrant(createGrant(2, true));
  time.nowMs = 10_000;
  client.flush();
  assert.deepEqual(releases.map((each) => each.slot), [1, 2]);
});

test("a grant whose request was cancelled is released unused", () => {
  // Guards against a lost slot while another team waits: the caller
  // disconnected while the grant was in transit, and the host did not release
  // the slot.
  const { client, releases } = createFixture(1);
  const req = createRequest("r1");
  client.acquire(req, () => assert.fail("started"));
  client.flush();
  client.cancel(req);
  client.receiveGrant(createGrant(1, false));
  assert.deepEqual(releases.map((each) => each.result), ["unused"]);
});

test("more owners are asked the longer a request waits", () => {
  const { client, requests, time } = createFixture(20);
  client.acquire(createRequest("r1"), () => {});
  const counts: number[] = [];
  for (const nowMs of [0, 100, 200, 500]) {
    time.nowMs = nowMs;
    client.flush();
    counts.push(new Set(requests.map((each) => each.upstream)).size);
  }
  assert.deepEqual(counts, [1, 2, 4, 20]);
});

test("all slot requests are withdrawn once no request waits", () => {
  const { client, requests, time } = createFixture(8);
  const req = createRequest("r1");
  client.acquire(req, () => {});
  time.nowMs = 500;
  client.flush();
  client.cancel(req);
  requests.length = 0;
  client.flush();
  const withdrawn = requests.flatMap((each) => each.wants)
    .filter((want) => want.waiting === 0);
  assert.equal(withdrawn.length, 8);
});
