import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import type { Fact } from "../membership/mod.ts";
import { createCrashWatch } from "./crash_watch.ts";

function createFixture() {
  const clock = createManualClock(1_000);
  const facts: Fact[] = [];
  const watch = createCrashWatch({
    clock,
    broadcastFact: (fact) => facts.push(fact),
    onSuspected: () => {},
  });
  return { clock, watch, facts };
}

test("a request that crashed three upstreams is blocked", () => {
  // One request crashes each upstream that runs it, and its caller sends it
  // again. Without the block, three of six upstreams go down with all other
  // requests that run there.
  const { watch } = createFixture();
  for (const upstream of ["a", "b", "c"]) {
    strictEqual(watch.isBlocked("poison"), false);
    watch.recordBroken(upstream, "poison");
    watch.recordBroken(upstream, `neighbour at ${upstream}`);
    watch.recordUnreachable(upstream);
  }
  strictEqual(watch.isBlocked("poison"), true);
  strictEqual(watch.isBlocked("neighbour at c"), false);
});

test("lost responses of a reachable upstream do not count as crashes", () => {
  // Guards against blocking, for a minute, a read whose response is lost
  // several times although its upstream does not crash.
  const { watch } = createFixture();
  for (let at = 0; at < 5; at++) watch.recordBroken("a", "read");
  strictEqual(watch.isBlocked("read"), false);
});

test("a response clears the suspicion of a request", () => {
  const { watch } = createFixture();
  for (const upstream of ["a", "b"]) {
    watch.recordBroken(upstream, "read");
    watch.recordUnreachable(upstream);
  }
  watch.recordSuccess("read");
  watch.recordBroken("c", "read");
  watch.recordUnreachable("c");
  strictEqual(watch.isBlocked("read"), false);
});

test("crash counts are gossiped to other hosts from the second crash on", () => {
  const { watch, facts } = createFixture();
  const other = createFixture();
  for (const upstream of ["a", "b", "c"]) {
    watch.recordBroken(upstream, "poison");
    watch.recordUnreachable(upstream);
  }
  deepStrictEqual(facts.map((fact) => fact.version), [2, 3]);
  for (const fact of facts) other.watch.receive(fact);
  strictEqual(other.watch.isBlocked("poison"), true);
});

test("a connection failure long after a broken response does not count as a crash", () => {
  const { clock, watch } = createFixture();
  for (const upstream of ["a", "b", "c"]) {
    watch.recordBroken(upstream, "read");
    clock.advance(3_000);
    watch.recordUnreachable(upstream);
  }
  strictEqual(watch.isBlocked("read"), false);
});
