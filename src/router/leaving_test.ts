/**
 * Tests of what hosts know of leaving upstreams.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { createManualClock } from "../core/mod.ts";
import type { Fact } from "../membership/mod.ts";
import type { ListedMachine } from "../platform/mod.ts";
import { checkHistory, type Observation, statedLimits } from "../proof/mod.ts";
import { createOwnerFixture } from "../testing/slot_owner_fixture.ts";
import type { Upstream } from "../types.ts";
import { pollUpstreamStates, type UpstreamState } from "../upstreams/mod.ts";
import { createLeavingUpstreams } from "./leaving.ts";

function createFixture(wallMs = 1_000_000) {
  const clock = createManualClock(wallMs);
  const spread: Fact[] = [];
  const changes: string[] = [];
  const leaving = createLeavingUpstreams({
    clock,
    spreadFact: (fact) => spread.push(fact),
    onChange: (upstream, is) => changes.push(`${upstream} ${is}`),
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

test("the upstream's word reaches hosts that can't see the list", () => {
  // An engine says that it leaves; its owner hears it within a second. The
  // others must know too, or the next owner grants to it again.
  const owner = createFixture();
  const other = createFixture();
  owner.leaving.receiveWord("engine-1", true);
  for (const fact of owner.spread) other.leaving.receiveFact(fact);
  assert.equal(other.leaving.isLeaving("engine-1"), true);
  assert.deepEqual(other.changes, ["engine-1 true"]);
});

test("what is known stays while nobody answers", () => {
  // The list has an outage right after it named an upstream as leaving, and
  // comes back without an entry for it.
  const { leaving } = createFixture();
  leaving.receiveList([createListed("leaving")]);
  leaving.receiveList([]);
  assert.equal(leaving.isLeaving("engine-1"), true);
});

test("an upstream that is back gets work again, whoever said it left", () => {
  // Host two's clock is a minute behind host one's: its newer word must still
  // win everywhere.
  const one = createFixture(1_060_000);
  const two = createFixture(1_000_000);
  one.leaving.receiveWord("engine-1", true);
  for (const fact of one.spread) two.leaving.receiveFact(fact);
  two.leaving.receiveWord("engine-1", false);
  for (const fact of two.spread) one.leaving.receiveFact(fact);
  assert.equal(one.leaving.isLeaving("engine-1"), false);
  assert.equal(two.leaving.isLeaving("engine-1"), false);
});

test("the list and the upstream's word count each for itself", () => {
  const { leaving } = createFixture();
  leaving.receiveList([createListed("leaving")]);
  leaving.receiveWord("engine-1", false);
  assert.equal(leaving.isLeaving("engine-1"), true);
  leaving.receiveList([createListed("live")]);
  assert.equal(leaving.isLeaving("engine-1"), false);
});

test("a silent upstream delays no other's word", async () => {
  // One engine hangs; another one says that it leaves. Asked one after the
  // other, the second would be heard only after the first one's deadline.
  const upstreams = ["engine-1", "engine-2"].map((id) => ({ id }) as Upstream);
  const said: string[] = [];
  let answer = (_: UpstreamState | undefined) => {};
  const silent = new Promise<UpstreamState | undefined>((resolve) =>
    answer = resolve
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
      id === "engine-1" ? Effect.promise(() => silent) : Effect.succeed(state),
    onState: (upstream, { leaving }) => said.push(`${upstream.id} ${leaving}`),
  }));
  await new Promise((resolve) => setImmediate(resolve));
  assert.deepEqual(said, ["engine-2 true"]);
  answer(undefined);
  await polled;
  assert.deepEqual(said, ["engine-2 true"]);
});

const PERIOD_MS = 500;
const WORD_POLL_MS = 1_000;

/**
 * Grants a slot each half second for ten seconds, while the upstream says after
 * one second that it leaves; the owner asks it each second.
 */
function runWhileLeaving(isHeard: boolean): readonly Observation[] {
  const { clock, leaving } = createFixture();
  const history: Observation[] = [];
  const startMs = clock.monotonicMs();
  const getAtMs = () => clock.monotonicMs() - startMs;
  const isLimited = () => isHeard && leaving.isLeaving("engine-1");
  const { owner, grants } = createOwnerFixture(() => isLimited() ? 0 : 4);
  for (let turn = 0; turn < 20; turn++) {
    clock.advance(PERIOD_MS);
    const hasWord = getAtMs() >= WORD_POLL_MS;
    if (getAtMs() === WORD_POLL_MS) {
      const kind = "upstream-leaving" as const;
      history.push({ kind, upstream: "engine-1", atMs: getAtMs() });
    }
    if (hasWord && getAtMs() % WORD_POLL_MS === 0) {
      leaving.receiveWord("engine-1", true);
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

test("an owner grants nothing at an upstream that leaves", () => {
  const history = runWhileLeaving(true);
  assert.ok(history.some((each) => each.kind === "upstream-ran"));
  assert.deepEqual(checkHistory(history, statedLimits), []);
});

test("without hearing that it leaves the checker reports the new work", () => {
  const broken = checkHistory(runWhileLeaving(false), statedLimits);
  const promises = new Set(broken.map((each) => each.promise));
  assert.deepEqual([...promises], ["leaving-upstream-gets-nothing"]);
});
