import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import type { Fact, Member } from "../membership/mod.ts";
import { createFullHosts } from "./full_hosts.ts";

function createMember(host: string, dataCentre = "a"): Member {
  return {
    host,
    incarnation: 1,
    revision: 1,
    state: "alive",
    dataCentre,
    peerAddress: host,
    publicAddress: host,
  };
}

/** Hosts in one data centre that receive each other's facts at once. */
function createFixture(names: readonly string[]) {
  const clock = createManualClock(1_000);
  const members = [...names.map((name) => createMember(name))];
  members.push(createMember("other", "b"));
  const views = names.map((peerAddress) =>
    createFullHosts({ clock, peerAddress, dataCentre: "a", incarnation: 1 })
  );
  const deliver = (fact: Fact) => views.forEach((view) => view.receive(fact));
  return { clock, members, views, deliver };
}

test("a host that reports that it is full counts as full at the others", () => {
  const { views: [first, second], deliver } = createFixture(["h1", "h2"]);
  deliver(first!.createFact(true));
  strictEqual(second!.isFull("h1"), true);
  deliver(first!.createFact(false));
  strictEqual(second!.isFull("h1"), false);
});

test("a full host that stops reporting no longer counts as full", () => {
  const { clock, views: [first, second], deliver } = createFixture([
    "h1",
    "h2",
  ]);
  deliver(first!.createFact(true));
  clock.advance(3_000);
  strictEqual(second!.isFull("h1"), false);
});

test("however many hosts are overloaded, half of a data centre takes callers", () => {
  // Guards against an overload of all hosts that leaves callers no host at all.
  const names = ["h1", "h2", "h3", "h4", "h5"];
  const { views, members, deliver } = createFixture(names);
  for (const view of views) deliver(view.createFact(true));
  deepStrictEqual(
    views.map((view) => view.mayBeFull(members)),
    [true, true, false, false, false],
  );
});

test("a data centre's only host continues to take callers", () => {
  const { views: [only], members } = createFixture(["h1"]);
  strictEqual(only!.mayBeFull(members), false);
});
