import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { test } from "node:test";
import fc from "fast-check";
import {
  crash,
  createCrashFixture,
  createProcess,
} from "../testing/crash_fixture.ts";

const [a, b, c, d] = ["a", "b", "c", "d"].map((id) => createProcess(id));

test("a request that crashed three upstreams is blocked", () => {
  // Guards against one request that takes down upstream after upstream.
  const { hosts: [host] } = createCrashFixture({ hosts: 1 });
  for (const upstream of [a!, b!, c!]) {
    strictEqual(host!.isBlocked("poison"), false);
    crash(host!, upstream, "poison", `neighbour at ${upstream.id}`);
  }
  strictEqual(host!.isBlocked("poison"), true);
  strictEqual(host!.isBlocked("neighbour at c"), false);
});

test("lost responses of a reachable upstream do not count as crashes", () => {
  // Guards against blocking a read whose response is lost several times.
  const { hosts: [host] } = createCrashFixture({ hosts: 1 });
  for (const upstream of [a!, b!, c!, d!, a!]) {
    host!.recordCutOff(upstream, "read");
  }
  strictEqual(host!.isBlocked("read"), false);
});

test("a connection failure long after a broken response does not count as a crash", () => {
  const { clock, hosts: [host] } = createCrashFixture({ hosts: 1 });
  for (const upstream of [a!, b!, c!]) {
    host!.recordCutOff(upstream, "read");
    clock.advance(3_000);
    host!.recordUnreachable(upstream);
  }
  strictEqual(host!.isBlocked("read"), false);
});

test("all hosts block a content under which three upstreams ended, whoever saw it", () => {
  // Guards against hosts that each count only what they saw, in any order.
  const witnesses = fc.array(fc.nat({ max: 8 }), {
    minLength: 3,
    maxLength: 3,
  });
  fc.assert(
    fc.property(
      witnesses,
      fc.stringMatching(/^[0-9a-f]{32}$/),
      (seen, content) => {
        const { hosts, advance } = createCrashFixture({ hosts: 9 });
        for (const [at, upstream] of [a!, b!, c!].entries()) {
          crash(hosts[seen[at]!]!, upstream, content);
          advance(100);
        }
        deepStrictEqual(
          hosts.map((each) => each.isBlocked(content)),
          Array(9).fill(true),
        );
      },
    ),
    { seed: 1 },
  );
});

test("a crash that several hosts see counts once", () => {
  // Guards against blocking a popular content for one crash beside it.
  const { hosts, advance } = createCrashFixture({ hosts: 5 });
  for (const host of hosts) crash(host, a!, "popular");
  advance(2_000);
  for (const host of hosts) crash(host, a!, "popular");
  advance(2_000);
  ok(hosts.every((each) => !each.isBlocked("popular")));
});

test("the loss of one owner loses no crash", () => {
  // Guards against a count that ends with the host that keeps it.
  for (let lost = 0; lost < 9; lost++) {
    const { hosts, advance, cutOff } = createCrashFixture({ hosts: 9 });
    cutOff(lost);
    const witness = hosts[(lost + 1) % 9]!;
    for (const upstream of [a!, b!, c!]) {
      crash(witness, upstream, "poison");
      advance(100);
    }
    const blocked = hosts.filter((each) => each.isBlocked("poison"));
    ok(blocked.length >= 8, `host ${lost} lost: ${blocked.length} block`);
  }
});

test("hosts that know none of the others count together once they do", () => {
  // Guards against crashes that stay with the owners of an early view.
  const { hosts, advance, setKnown } = createCrashFixture({ hosts: 9 });
  setKnown(() => false);
  for (const [at, upstream] of [a!, b!, c!].entries()) {
    crash(hosts[at]!, upstream, "poison");
    advance(2_000);
  }
  ok(hosts.every((each) => !each.isBlocked("poison")));
  setKnown(() => true);
  advance(20_000);
  ok(hosts.every((each) => each.isBlocked("poison")));
});

test("content that runs well at any host is cleared at all", () => {
  // Guards against refusing a popular content that ran beside crashes of
  // another one's making.
  const { hosts, advance } = createCrashFixture({ hosts: 5 });
  const runsWell = () => hosts[4]!.recordSuccess("popular");
  for (const [at, upstream] of [a!, b!, c!, d!].entries()) {
    crash(hosts[at]!, upstream, "popular");
    advance(300);
    if (at === 1) runsWell();
    advance(300);
  }
  deepStrictEqual(hosts.map((each) => each.isBlocked("popular")), [
    false,
    false,
    false,
    false,
    false,
  ]);
});

test("content that ran well shortly before three crashes at once stays served", () => {
  // Guards against refusing a popular content when a service loses all its
  // upstreams within a second.
  const { hosts, advance } = createCrashFixture({ hosts: 5 });
  hosts[4]!.recordSuccess("popular");
  advance(2_000);
  for (const [at, upstream] of [a!, b!, c!].entries()) {
    crash(hosts[at]!, upstream, "popular", "poison");
    advance(100);
  }
  ok(hosts.every((each) => !each.isBlocked("popular")));
  ok(hosts.every((each) => each.isBlocked("poison")));
});

test("content is no longer blocked ten minutes after its crashes", () => {
  const { hosts: [host], clock } = createCrashFixture({ hosts: 1 });
  for (const upstream of [a!, b!, c!]) crash(host!, upstream, "poison");
  clock.advance(9 * 60_000);
  strictEqual(host!.isBlocked("poison"), true);
  clock.advance(2 * 60_000);
  strictEqual(host!.isBlocked("poison"), false);
});

test("contents that run everywhere in a lost rack cost 195 hosts few broadcasts", () => {
  // Guards against a broadcast for each pair of a content and an upstream.
  const { hosts, sent, advance } = createCrashFixture({ hosts: 195 });
  for (let upstream = 0; upstream < 20; upstream++) {
    for (let content = 0; content < 20; content++) {
      const witness = hosts[(upstream * 20 + content) % 195]!;
      crash(witness, createProcess(`u-${upstream}`), `content-${content}`);
    }
    advance(100);
  }
  advance(5_000);
  const all = sent.reduce((sum, each) => sum + each);
  ok(all <= 20 * 3 * 195, `${all} datagrams of all hosts in seven seconds`);
});

test("a lost rack costs each of 195 hosts few datagrams", () => {
  // Guards against reports of crashes that displace the hosts' other messages.
  const { hosts, sent, advance } = createCrashFixture({ hosts: 195 });
  for (let upstream = 0; upstream < 20; upstream++) {
    for (let request = 0; request < 48; request++) {
      const witness = hosts[(upstream * 48 + request) % 195]!;
      crash(
        witness,
        createProcess(`u-${upstream}`),
        `content-${upstream}-${request}`,
      );
    }
  }
  advance(5_000);
  const most = Math.max(...sent);
  ok(most <= 60, `${most} datagrams of one host in five seconds`);
});
