/**
 * Tests of the distribution of leaving upstreams between hosts.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { createManualClock } from "../core/mod.ts";
import type { Fact } from "../membership/mod.ts";
import type { ListedMachine } from "../platform/mod.ts";
import {
  checkHistory,
  documentedLimits,
  type Observation,
} from "../proof/mod.ts";
import { createOwnerFixture } from "../testing/slot_owner_fixture.ts";
import type { Upstream } from "../types.ts";
import { pollUpstreamStates, type UpstreamState } from "../upstreams/mod.ts";
import { createLeavingUpstreams } from "./leaving_upstreams.ts";

function createFixture(wallMs = 1_000_000) {
  const clock = createManualClock(wallMs);
  const spread: Fact[] = [];
  const changes: string[] = [];
  const leaving = createLeavingUpstreams({
    clock,
    gossipFact: (fact) => spread.push(fact),
    onChange: (upstream, isLeaving) => changes.push(`${upstream} ${isLeaving}`),
  });
  return { clock, spread, changes, leaving };
}

function createListed(state: ListedMachine["state"]): ListedMachine {
  return {
    id: "engine-1",
    role: "upstream",
    dataCentre: "dc-1",
    address: "127.0.0.1:1",
    state,
  };
}

test("an upstream's own report reaches hosts that can't read the list", () => {
  // An engine reports that it is leaving, and its owner reads this within a
  // second. Other hosts must know it too, or the next owner would grant its
  // slots again.
  const owner = createFixture();
  const other = createFixture();
  owner.leaving.receiveReport("engine-1", true);
  for (const fact of owner.spread) other.leaving.receiveFact(fact);
  assert.equal(other.leaving.isLeaving("engine-1"), true);
  assert.deepEqual(other.changes, ["engine-1 true"]);
});

test("the last known state is kept while the list has no entry", () => {
  // The list has an outage right after it listed an upstream as leaving, and
  // returns without an entry for it.
  const { leaving } = createFixture();
  leaving.receiveMachineList([createListed("leaving")]);
  leaving.receiveMachineList([]);
  assert.equal(leaving.isLeaving("engine-1"), true);
});

test("an upstream that returned is available again at all hosts", () => {
  // The clock of host two is a minute behind that of host one. Its newer report
  // must still replace the older one at both hosts.
  const one = createFixture(1_060_000);
  const two = createFixture(1_000_000);
  one.leaving.receiveReport("engine-1", true);
  for (const fact of one.spread) two.leaving.receiveFact(fact);
  two.leaving.receiveReport("engine-1", false);
  for (const fact of two.spread) one.leaving.receiveFact(fact);
  assert.equal(one.leaving.isLeaving("engine-1"), false);
  assert.equal(two.leaving.isLeaving("engine-1"), false);
});

test("the list and the upstream's own report are tracked separately", () => {
  const { leaving } = createFixture();
  leaving.receiveMachineList([createListed("leaving")]);
  leaving.receiveReport("engine-1", false);
  assert.equal(leaving.isLeaving("engine-1"), true);
  leaving.receiveMachineList([createListed("live")]);
  assert.equal(leaving.isLeaving("engine-1"), false);
});

test("an unresponsive upstream does not delay the reports of others", async () => {
  // One engine hangs; another one reports that it is leaving. If they were
  // polled in sequence, the second would be delayed by the first one's
  // time-out.
  const upstreams = ["engine-1", "engine-2"].map((id) => ({ id }) as Upstream);
  const reported: string[] = [];
  let respond = (_: UpstreamState | undefined) => {};
  const pending = new Promise<UpstreamState | undefined>((resolve) =>
    respond = resolve
  );
  const state: UpstreamState = {
    running: 0,
    leaving: true,
    models: undefined,
    role: "",
    workingOn: "",
  };
  const polled = Effect.runPromise(pollUpstreamStates({
    getOwned: () => upstreams,
    tryGetState: ({ id }) =>
      id === "engine-1" ? Effect.promise(() => pending) : Effect.succeed(state),
    onState: (upstream, { leaving }) =>
      reported.push(`${upstream.id} ${leaving}`),
  }));
  await new Promise((resolve) => setImmediate(resolve));
  assert.deepEqual(reported, ["engine-2 true"]);
  respond(undefined);
  await polled;
  assert.deepEqual(reported, ["engine-2 true"]);
});

const PERIOD_MS = 500;
const STATE_POLL_MS = 1_000;

/**
 * Requests a slot every half second for ten seconds. The upstream is leaving
 * from the first second on, and the owner polls its state every second;
 * `usesReport` tells whether the owner acts on it.
 */
function simulateLeaving(usesReport: boolean): readonly Observation[] {
  const { clock, leaving } = createFixture();
  const history: Observation[] = [];
  const startMs = clock.monotonicMs();
  const getAtMs = () => clock.monotonicMs() - startMs;
  const isLimited = () => usesReport && leaving.isLeaving("engine-1");
  const { owner, grants } = createOwnerFixture(() => isLimited() ? 0 : 4);
  for (let step = 0; step < 20; step++) {
    clock.advance(PERIOD_MS);
    const isReportDue = getAtMs() >= STATE_POLL_MS;
    if (getAtMs() === STATE_POLL_MS) {
      const kind = "upstream-leaving" as const;
      history.push({ kind, upstream: "engine-1", atMs: getAtMs() });
    }
    if (isReportDue && getAtMs() % STATE_POLL_MS === 0) {
      leaving.receiveReport("engine-1", true);
    }
    const before = grants.length;
    owner.receiveRequest("entry-1", {
      upstream: "engine-1",
      wants: [{ team: "fitters", waiting: 1, ageMs: 0 }],
      full: false,
      held: [],
    });
    for (const { to, grant } of grants.slice(before)) {
      history.push({
        kind: "upstream-ran",
        upstream: grant.upstream,
        request: `request-${grant.slot}`,
        work: `work-${grant.slot}`,
        operation: "generate",
        atMs: getAtMs(),
      });
      owner.receiveRelease(to, {
        ...grant,
        cost: 1,
        firstByteMs: 10,
        result: "answered",
      });
    }
  }
  return history;
}

test("an owner grants no slots of a leaving upstream", () => {
  const history = simulateLeaving(true);
  assert.ok(history.some((each) => each.kind === "upstream-ran"));
  assert.deepEqual(checkHistory(history, documentedLimits), []);
});

test("without the upstream's report the checker finds requests sent to it", () => {
  const violations = checkHistory(simulateLeaving(false), documentedLimits);
  const promises = new Set(violations.map((each) => each.promise));
  assert.deepEqual([...promises], ["leaving-upstream-gets-nothing"]);
});
