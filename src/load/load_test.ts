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

test("no team is limited when the capacity is sufficient for all", () => {
  strictEqual(getFairLevel([10, 20, 30], 60), Infinity);
});

test("teams that ask for more than an even share get the same amount", () => {
  // Of a capacity of 100 the small demand gets 10, the two large ones 45 each.
  strictEqual(getFairLevel([10, 400, 90], 100), 45);
});

test("any demands, limited to the fair level, add up to the capacity", () => {
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
  /** Creates the report that this host sends to the others in a small fleet. */
  const createReport = (): LoadReport => ({
    ...view.createOwnContent(),
    from,
    sequence: ++sequence,
    scope: "host",
    dataCentre: "one",
    included: [],
  });
  return { clock, view, createReport };
}

test("a host tells how many hosts its view covers, and from how old reports", () => {
  // Guards against a host without reports that looks like one of a calm fleet.
  const a = createView("a");
  const b = createView("b", a.clock);
  deepStrictEqual(b.view.getCoverage(), { hosts: 1, ageMs: 0 });
  b.view.receive(a.createReport());
  a.clock.advance(70);
  deepStrictEqual(b.view.getCoverage(), { hosts: 2, ageMs: 70 });
});

test("hosts count each other's requests at an upstream", () => {
  // Guards against hosts that each use all slots of an upstream.
  const a = createView("a");
  const b = createView("b", a.clock);
  for (let at = 0; at < 30; at++) {
    a.view.beginRequest("engine-1");
    b.view.beginRequest("engine-1");
  }
  a.view.beginPrefill("engine-1", 4_000);
  b.view.receive(a.createReport());
  strictEqual(b.view.getInFlight("engine-1"), 60);
  strictEqual(b.view.getReadingTokens("engine-1"), 4_000);
});

test("an older report does not replace a newer one", () => {
  const a = createView("a");
  const b = createView("b", a.clock);
  a.view.beginRequest("engine-1");
  const older = a.createReport();
  a.view.beginRequest("engine-1");
  b.view.receive(a.createReport());
  b.view.receive(older);
  strictEqual(b.view.getInFlight("engine-1"), 2);
});

test("the load of a host that was killed expires", () => {
  const a = createView("a");
  const b = createView("b", a.clock);
  a.view.beginRequest("engine-1");
  b.view.receive(a.createReport());
  a.clock.advance(2_000);
  strictEqual(b.view.getInFlight("engine-1"), 0);
});

test("a team that overloads one host is over its share at all hosts", () => {
  // Guards against hosts that do not know of a team's load at other hosts.
  const a = createView("a");
  const b = createView("b", a.clock);
  for (let at = 0; at < 10; at++) {
    a.view.recordAsked("flood", 500);
    a.view.recordBegun("flood", 90);
    b.view.recordAsked("calm", 20);
    b.view.recordBegun("calm", 2);
    a.clock.advance(100);
  }
  b.view.receive(a.createReport());
  ok(b.view.getShareUsed("flood") > 1);
  ok(b.view.getShareUsed("calm") < 1);
  deepStrictEqual(b.view.getShareUsed("nobody"), 0);
});

test("a team is underserved as soon as it gets less than it asks for and than its even part", () => {
  // Guards against a team that is left below its due while another one exceeds it.
  const { clock, view } = createView("a");
  for (let at = 0; at < 10; at++) {
    view.recordAsked("rich", 500);
    view.recordBegun("rich", 90);
    view.recordAsked("poor", 500);
    view.recordBegun("poor", 40);
    view.recordAsked("small", 20);
    view.recordBegun("small", 19);
    view.recordAsked("content", 20);
    view.recordBegun("content", 20);
    clock.advance(100);
  }
  const teams = ["rich", "poor", "small", "content", "nobody"];
  deepStrictEqual(teams.filter(view.isUnderserved), ["poor", "small"]);
  deepStrictEqual(teams.filter(view.isOverserved), ["rich"]);
});

test("a team that begins to flood does not count as behind one that was served before", () => {
  // Guards against teams that yield until another has caught up with seconds in
  // which it asked for nothing.
  const { clock, view } = createView("a");
  function pass(ms: number, teams: readonly string[]): void {
    for (let at = 0; at < ms / 20; at++) {
      for (const team of teams) view.recordAsked(team, 300);
      view.recordBegun("first", 4);
      clock.advance(20);
    }
  }
  pass(6_000, ["first"]);
  pass(20, ["first", "second"]);
  deepStrictEqual(view.isUnderserved("second"), false);
  pass(380, ["first", "second"]);
  const [first, second] = ["first", "second"].map(view.getShareUsed);
  ok(second! > first! * 0.75, `${second}, ${first} of the first`);
  pass(1_600, ["first", "second"]);
  ok(view.isUnderserved("second"), "it has been given nothing since");
  ok(view.isOverserved("first"));
});

test("a small team counts as behind at once when it is given nothing", () => {
  // Guards against credits that hide how little a team gets of the little it asks.
  const { clock, view } = createView("a");
  for (let at = 0; at < 100; at++) {
    view.recordAsked("flood", 500);
    view.recordBegun("flood", 90);
    if (at > 80) view.recordAsked("small", 20);
    clock.advance(20);
  }
  ok(view.isUnderserved("small"));
  ok(view.getShareUsed("small") < 1);
});

test("hosts know how many prompts of underserved teams wait elsewhere", () => {
  // Guards against upstreams that stay idle for prompts that no longer wait.
  const a = createView("a");
  const b = createView("b", a.clock);
  a.view.setWaiting(
    new Map([["engine-1", {
      underserved: 2,
      underservedTokens: 2_000,
      yieldingTokens: 0,
    }]]),
  );
  b.view.receive(a.createReport());
  strictEqual(b.view.getUnderservedElsewhere("engine-1"), 2);
  strictEqual(a.view.getUnderservedElsewhere("engine-1"), 0);
  for (const { view } of [a, b]) {
    strictEqual(view.getUnderservedTokens("engine-1"), 2_000);
  }
  a.view.setWaiting(new Map());
  b.view.receive(a.createReport());
  strictEqual(b.view.getUnderservedElsewhere("engine-1"), 0);
});

test("prompts that waited at a host that was killed hold up no others", () => {
  const a = createView("a");
  const b = createView("b", a.clock);
  a.view.setWaiting(
    new Map([["engine-1", {
      underserved: 2,
      underservedTokens: 2_000,
      yieldingTokens: 0,
    }]]),
  );
  b.view.receive(a.createReport());
  a.clock.advance(2_000);
  strictEqual(b.view.getUnderservedElsewhere("engine-1"), 0);
});

test("reports do not expire while this host itself is blocked", () => {
  // Guards against a host that, after a long event-loop iteration, treats full
  // upstreams as free because the reports of other hosts seem to be too old.
  const a = createView("a");
  const tolerantClock = createStallTolerantClock(a.clock);
  const b = createView("b", a.clock, tolerantClock);
  a.view.beginPrefill("engine-1", 9_000);
  b.view.receive(a.createReport());
  a.clock.advance(1_600);
  strictEqual(b.view.getReadingTokens("engine-1"), 9_000);
  for (let turn = 0; turn < 160; turn++) {
    tolerantClock.tick();
    a.clock.advance(10);
  }
  strictEqual(b.view.getReadingTokens("engine-1"), 0);
});
