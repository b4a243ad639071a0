import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { test } from "node:test";
import {
  crash,
  type CrashFixture,
  createCrashFixture,
  createProcess,
} from "../testing/crash_fixture.ts";

/** Time in which all hosts must know a part that crashed five upstreams, in ms. */
const CONTACT_MS = 4_000;

const PARTS = ["part-common", "part-bad"];

/** The parts crash so many upstreams, each seen by the next host. */
function crashUpstreams(
  { hosts, advance }: CrashFixture,
  count: number,
  parts: readonly string[],
): void {
  for (let at = 0; at < count; at++) {
    if (at > 0) advance(700);
    crash(hosts[at % hosts.length]!, createProcess(`u-${at}`), ...parts);
  }
}

function countBlocking(
  { hosts }: CrashFixture,
  parts: readonly string[],
): number {
  return hosts.filter((each) => each.isBlocked("own", parts)).length;
}

test("all hosts block prompts with a part under which five upstreams ended, whoever saw it", () => {
  // Guards against hosts that each count only what they saw.
  for (const count of [1, 3, 9, 74]) {
    const fixture = createCrashFixture({ hosts: count });
    crashUpstreams(fixture, 5, PARTS);
    fixture.advance(CONTACT_MS);
    strictEqual(countBlocking(fixture, PARTS), count);
    strictEqual(countBlocking(fixture, ["part-common"]), 0);
    strictEqual(countBlocking(fixture, ["part-bad"]), 0);
  }
});

test("an answer that goes on at any host clears its parts at all", () => {
  // Guards against refusing what a bad part was seen with, once that is known.
  const fixture = createCrashFixture({ hosts: 9 });
  crashUpstreams(fixture, 5, PARTS);
  fixture.advance(CONTACT_MS);
  fixture.hosts[6]!.recordSuccess("part-common");
  fixture.advance(1_500);
  strictEqual(countBlocking(fixture, ["part-bad"]), 9);
  strictEqual(countBlocking(fixture, ["part-common", "part-other"]), 0);
});

test("an answer of before its crashes clears no part", () => {
  // Guards against a part that turns bad and is cleared by its own past.
  const fixture = createCrashFixture({ hosts: 9 });
  for (const host of fixture.hosts) host.recordSuccess("part-bad");
  fixture.advance(1_000);
  crashUpstreams(fixture, 5, ["part-bad"]);
  fixture.advance(CONTACT_MS);
  strictEqual(countBlocking(fixture, ["part-bad"]), 9);
});

test("a popular part beside crashes by chance is blocked nowhere and costs no datagram", () => {
  // Guards against a fleet that talks of parts that run well a moment later.
  const fixture = createCrashFixture({ hosts: 9 });
  const { hosts, sent, advance } = fixture;
  for (let at = 0; at < 12; at++) {
    for (const host of hosts) {
      crash(host, createProcess(`u-${at}`), "part-common");
    }
    advance(400);
    for (const host of hosts) host.recordSuccess("part-common");
    advance(400);
    strictEqual(countBlocking(fixture, ["part-common"]), 0);
  }
  deepStrictEqual(sent, Array(9).fill(0));
});

test("an upstream that answers no connection counts against no part", () => {
  // Guards against blaming a popular part for upstreams that are silent and go
  // on.
  const fixture = createCrashFixture({ hosts: 1 });
  const [host] = fixture.hosts;
  for (let at = 0; at < 6; at++) {
    const upstream = createProcess(`u-${at}`);
    host!.recordCutOff(upstream, "part-common");
    host!.recordUnreachable(upstream, false);
    fixture.advance(700);
  }
  ok(fixture.log.every((each) => each.event !== "part-suspected"));
});

test("hosts whose clocks differ by an hour still clear what runs well", () => {
  // Guards against crashes that lie in the future of the host that saw a good
  // answer.
  const fixture = createCrashFixture({ hosts: 3 });
  const { hosts, clock, advance } = fixture;
  crashUpstreams(fixture, 5, ["part-a", "content"]);
  advance(CONTACT_MS);
  strictEqual(hosts[0]!.isBlocked("content"), true);
  clock.stepWall(-3_600_000);
  for (const subject of ["part-a", "content"]) hosts[1]!.recordSuccess(subject);
  advance(1_500);
  strictEqual(countBlocking(fixture, ["part-a"]), 0);
  ok(hosts.every((each) => !each.isBlocked("content")));
});

test("what is blocked stays blocked when the time of day jumps", () => {
  // Guards against hosts that forget crashes, or take those of many moments for
  // one, when their wall clocks are set.
  for (const stepMs of [-3_600_000, -5_000, 5_000, 3_600_000]) {
    const fixture = createCrashFixture({ hosts: 5 });
    fixture.clock.stepWall(stepMs);
    crashUpstreams(fixture, 5, ["part-a"]);
    for (const at of [7, 8, 9]) {
      crash(fixture.hosts[0]!, createProcess(`u-${at}`), "content");
    }
    fixture.advance(CONTACT_MS);
    fixture.clock.stepWall(-2 * stepMs);
    fixture.advance(1_000);
    strictEqual(countBlocking(fixture, ["part-a"]), 5);
    ok(fixture.hosts.every((each) => each.isBlocked("content")));
  }
});

test("the log says which crashes and which answer decided on a part", () => {
  // Guards against a verdict that nobody can check.
  const fixture = createCrashFixture({ hosts: 1 });
  crashUpstreams(fixture, 5, ["part-a"]);
  fixture.advance(1_000);
  fixture.hosts[0]!.recordSuccess("part-a");
  const lines = fixture.log.filter((each) => each.event.startsWith("part-"));
  deepStrictEqual(lines.map(({ event }) => event), [
    ...Array(5).fill("part-suspected"),
    "part-blocked",
    "part-cleared",
  ]);
  const blocked = lines.find((each) => each.event === "part-blocked");
  ok(blocked?.event === "part-blocked");
  deepStrictEqual(
    blocked.processes,
    ["1/u-0", "1/u-1", "1/u-2", "1/u-3", "1/u-4"],
  );
  deepStrictEqual([blocked.crashes, blocked.moments], [5, 5]);
});
