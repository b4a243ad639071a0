import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { test } from "node:test";
import * as fc from "fast-check";
import {
  type Clock,
  createManualClock,
  createStallTolerantClock,
} from "../core/mod.ts";
import { getNameDigest } from "../peers/mod.ts";
import { createLoadView } from "./load_view.ts";
import { getFairLevel } from "./team_shares.ts";
import type { LoadReport } from "./types.ts";

test("with enough for all no team has a limit", () => {
  strictEqual(getFairLevel([10, 20, 30], 60), Infinity);
});

test("those that ask for more than an even share get the same", () => {
  // 100 of capacity: 10 for the small one, 45 each for the two large ones.
  strictEqual(getFairLevel([10, 400, 90], 100), 45);
});

test("demands cut at the level add up to the capacity, whatever they are", () => {
  const amount = fc.double({ min: 0.1, max: 1_000, noNaN: true });
  fc.assert(fc.property(
    fc.array(amount, { minLength: 1, maxLength: 300 }),
    amount,
    (demands, capacity) => {
      const level = getFairLevel(demands, capacity);
      const sum = demands.reduce(
        (total, each) => total + Math.min(each, level),
        0,
      );
      const all = demands.reduce((total, each) => total + each, 0);
      ok(Math.abs(sum - Math.min(all, capacity)) < 1e-6 * (1 + all));
    },
  ));
});

function createView(
  from: string,
  clock = createManualClock(1_000),
  viewClock: Clock = clock,
) {
  const view = createLoadView({
    clock: viewClock,
    getDigest: getNameDigest,
    isAlive: () => true,
    getStatedCapacity: () => 100,
    getLearned: () => [],
  });
  let sequence = 0;
  /** What this host tells each other one in a small fleet. */
  const createReport = (): LoadReport => ({
    ...view.createUse(),
    from,
    sequence: ++sequence,
    scope: "host",
    dataCentre: "one",
    included: [],
  });
  return { clock, view, createReport };
}

test("hosts count each other's requests at an upstream", () => {
  // Guards against hosts that each fill an upstream to its slots.
  const a = createView("a");
  const b = createView("b", a.clock);
  for (let at = 0; at < 30; at++) {
    a.view.begin("engine-1");
    b.view.begin("engine-1");
  }
  a.view.beginReading("engine-1", 4_000);
  b.view.receive(a.createReport());
  strictEqual(b.view.getInFlight("engine-1"), 60);
  strictEqual(b.view.getReadingTokens("engine-1"), 4_000);
});

test("an older report does not replace a newer one", () => {
  const a = createView("a");
  const b = createView("b", a.clock);
  a.view.begin("engine-1");
  const older = a.createReport();
  a.view.begin("engine-1");
  b.view.receive(a.createReport());
  b.view.receive(older);
  strictEqual(b.view.getInFlight("engine-1"), 2);
});

test("the load of a host that was killed is forgotten", () => {
  const a = createView("a");
  const b = createView("b", a.clock);
  a.view.begin("engine-1");
  b.view.receive(a.createReport());
  a.clock.advance(2_000);
  strictEqual(b.view.getInFlight("engine-1"), 0);
});

test("a team that floods one host is over its share at all of them", () => {
  // Guards against a flood that other hosts take for a calm team.
  const a = createView("a");
  const b = createView("b", a.clock);
  for (let at = 0; at < 10; at++) {
    a.view.noteAsked("flood", 500);
    a.view.noteBegun("flood", 90);
    b.view.noteAsked("calm", 20);
    b.view.noteBegun("calm", 2);
    a.clock.advance(100);
  }
  b.view.receive(a.createReport());
  ok(b.view.getShareUsed("flood") > 1);
  ok(b.view.getShareUsed("calm") < 1);
  deepStrictEqual(b.view.getShareUsed("nobody"), 0);
});

test("a team is underserved that is given far less than it asks for and others get", () => {
  const { clock, view } = createView("a");
  for (let at = 0; at < 10; at++) {
    view.noteAsked("rich", 500);
    view.noteBegun("rich", 90);
    view.noteAsked("poor", 500);
    view.noteBegun("poor", 40);
    view.noteAsked("small", 20);
    view.noteBegun("small", 19);
    clock.advance(100);
  }
  const underserved = ["rich", "poor", "small", "nobody"].filter(
    view.isUnderserved,
  );
  deepStrictEqual(underserved, ["poor"]);
});

test("hosts know what waits elsewhere for underserved teams, and when it is gone", () => {
  // Guards against upstreams that idle for prompts that wait no longer.
  const a = createView("a");
  const b = createView("b", a.clock);
  a.view.setUnderserved(new Map([["engine-1", 2]]));
  b.view.receive(a.createReport());
  strictEqual(b.view.getUnderservedElsewhere("engine-1"), 2);
  strictEqual(a.view.getUnderservedElsewhere("engine-1"), 0);
  a.view.setUnderserved(new Map());
  b.view.receive(a.createReport());
  strictEqual(b.view.getUnderservedElsewhere("engine-1"), 0);
});

test("what waits at a host that was killed holds nobody back", () => {
  const a = createView("a");
  const b = createView("b", a.clock);
  a.view.setUnderserved(new Map([["engine-1", 2]]));
  b.view.receive(a.createReport());
  a.clock.advance(2_000);
  strictEqual(b.view.getUnderservedElsewhere("engine-1"), 0);
});

test("an upstream that others have filled is not free after a pause of this host", () => {
  // Guards against starts on the ground of a host's own silence.
  const a = createView("a");
  const working = createStallTolerantClock(a.clock);
  const b = createView("b", a.clock, working);
  a.view.beginReading("engine-1", 9_000);
  b.view.receive(a.createReport());
  a.clock.advance(1_600);
  strictEqual(b.view.getReadingTokens("engine-1"), 9_000);
  for (let turn = 0; turn < 160; turn++) {
    working.tick();
    a.clock.advance(10);
  }
  strictEqual(b.view.getReadingTokens("engine-1"), 0);
});
