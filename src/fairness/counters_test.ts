/**
 * Tests of the tree of service counters: lost and duplicated messages, raises,
 * new parents and network partitions.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { createManualClock } from "../core/mod.ts";
import {
  createServiceCounters,
  MAX_SPREAD_REQUESTS,
  type ServiceCounters,
} from "./counters.ts";
import type { CounterReport } from "./types.ts";

const TEAMS = ["alder", "birch", "cedar"];

function createNodes(count: number) {
  const clock = createManualClock();
  let sessions = 0;
  const create = () =>
    createServiceCounters({
      nowMs: clock.monotonicMs,
      createSession: () => ++sessions,
    });
  const root = create();
  const children = Array.from({ length: count }, (_, index) => {
    const child = create();
    child.setParent("root");
    return { name: `child-${index}`, child };
  });
  return { clock, root, children, create };
}

type Nodes = ReturnType<typeof createNodes>;

function exchange(root: ServiceCounters, node: Nodes["children"][0]): void {
  const report = node.child.tryGetReport();
  if (report === undefined) return;
  node.child.receiveView(root.receiveReport(node.name, report));
}

/** Runs enough rounds for changes at each child to reach all others. */
function settle({ clock, children }: Nodes, root: ServiceCounters): void {
  for (let round = 0; round < 4; round++) {
    clock.advance(2_000);
    for (const node of children) exchange(root, node);
  }
}

const step = fc.oneof(
  fc.record({
    kind: fc.constant("charge" as const),
    child: fc.nat(2),
    team: fc.constantFrom(...TEAMS),
    amount: fc.integer({ min: 1, max: 100 }),
  }),
  fc.record({
    kind: fc.constant("exchange" as const),
    child: fc.nat(2),
    fate: fc.constantFrom("ok", "report-lost", "view-lost", "doubled", "late"),
  }),
);

test("each charge counts exactly once when messages are lost or duplicated", () => {
  // Guards against service that is counted twice: the acknowledgement of a
  // report is lost, the child sends the service again, and the parent adds it a
  // second time. The team would be served less than its share forever.
  fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
    const nodes = createNodes(3);
    const { root, children } = nodes;
    const sums = new Map(TEAMS.map((team) => [team, 0]));
    const late: { name: string; report: CounterReport }[] = [];
    for (const team of TEAMS) children[0]!.child.setWaiting(team, true);
    for (const each of steps) {
      const node = children[each.child]!;
      if (each.kind === "charge") {
        node.child.charge(each.team, each.amount);
        sums.set(each.team, sums.get(each.team)! + each.amount);
        continue;
      }
      const report = node.child.tryGetReport();
      if (report === undefined || each.fate === "report-lost") continue;
      const view = root.receiveReport(node.name, report);
      if (each.fate === "doubled") root.receiveReport(node.name, report);
      if (each.fate === "late") late.push({ name: node.name, report });
      if (each.fate !== "view-lost") node.child.receiveView(view);
    }
    for (const { name, report } of late) root.receiveReport(name, report);
    settle(nodes, root);
    for (const team of TEAMS) {
      assert.equal(root.get(team), sums.get(team));
      for (const { child } of children) {
        assert.equal(child.get(team), sums.get(team));
      }
    }
  }));
});

test("a raise of a counter at two owners is applied once", () => {
  // Two owners each raise the counter of a team that was idle to that of the
  // others. If the parent added both raises, the team would wait twice as long
  // as it should.
  const nodes = createNodes(2);
  const { root, children } = nodes;
  const [first, second] = children.map((each) => each.child);
  first!.setWaiting("alder", true);
  second!.setWaiting("alder", true);
  first!.charge("alder", 500);
  settle(nodes, root);
  first!.setWaiting("birch", true);
  second!.setWaiting("birch", true);
  first!.charge("birch", 10);
  second!.charge("birch", 5);
  settle(nodes, root);
  assert.equal(root.get("birch"), 515);
  assert.equal(first!.get("birch"), 515);
});

test("the counter of a team that waits at another owner is not raised", () => {
  // Guards against a backlogged team that loses service due to it whenever its
  // queue at one host is empty for a moment while it waits at other hosts.
  const nodes = createNodes(2);
  const { root, children } = nodes;
  const [first, second] = children.map((each) => each.child);
  first!.setWaiting("alder", true);
  first!.setWaiting("birch", true);
  settle(nodes, root);
  first!.charge("alder", 100);
  settle(nodes, root);
  second!.setWaiting("birch", true);
  assert.equal(second!.get("birch"), 0);
});

test("a parent that restarts empty takes over the counters of its children", () => {
  // Guards against lost counters when the parent's host is replaced: all teams
  // would seem equal, and one that had far more than its share would keep its
  // advantage.
  const nodes = createNodes(2);
  const { children, create } = nodes;
  const [first, second] = children.map((each) => each.child);
  first!.setWaiting("alder", true);
  second!.setWaiting("birch", true);
  first!.charge("alder", 100);
  second!.charge("birch", 40);
  settle(nodes, nodes.root);
  first!.charge("alder", 7);
  const restarted = create();
  settle(nodes, restarted);
  for (const counters of [restarted, first!, second!]) {
    assert.equal(counters.get("alder"), 107);
    assert.equal(counters.get("birch"), 40);
  }
});

test("after a partition of any length counters differ by at most the cap", () => {
  // Guards against starvation after a network partition between regions: teams
  // that were served less in one region would be due the difference, an hour of
  // service, and the others would get nothing meanwhile.
  fc.assert(fc.property(
    fc.integer({ min: 1, max: 1_000_000 }),
    fc.integer({ min: 1, max: 500 }),
    (served, largest) => {
      const nodes = createNodes(2);
      const { children, create } = nodes;
      const [here, there] = children.map((each) => each.child);
      here!.setWaiting("alder", true);
      there!.setWaiting("birch", true);
      settle(nodes, nodes.root);
      const hereRoot = create();
      here!.setParent("here");
      here!.recordLargest(largest);
      here!.charge("alder", served);
      exchange(hereRoot, children[0]!);
      here!.setParent("root");
      settle(nodes, nodes.root);
      const difference = here!.get("alder") - here!.get("birch");
      assert.ok(difference >= 0);
      assert.ok(
        difference <= MAX_SPREAD_REQUESTS * largest + 1e-6,
        `${difference}`,
      );
      assert.equal(there!.get("alder"), here!.get("alder"));
    },
  ));
});

test("a team that was idle has no credit", () => {
  const nodes = createNodes(1);
  const { root, children } = nodes;
  const { child } = children[0]!;
  child.setWaiting("alder", true);
  child.charge("alder", 1_000);
  settle(nodes, root);
  child.setWaiting("birch", true);
  assert.equal(child.get("birch"), child.get("alder"));
});

test("the backlog of a child without reports expires", () => {
  // Guards against a dead host whose teams still seem to wait. Others would be
  // charged for service that takes nothing from any team.
  const nodes = createNodes(2);
  const { clock, root, children } = nodes;
  children[0]!.child.setWaiting("alder", true);
  exchange(root, children[0]!);
  assert.equal(root.isContended("birch"), true);
  clock.advance(10_000);
  assert.equal(root.isContended("birch"), false);
});
