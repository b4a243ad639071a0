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

test("a content that crashed three upstreams is refused", () => {
  // One request crashes each upstream that runs it, and its caller sends it
  // again: three upstreams of six are down, with all that ran beside it.
  const { watch } = createFixture();
  for (const upstream of ["a", "b", "c"]) {
    strictEqual(watch.isBlocked("poison"), false);
    watch.recordBrokenResponse(upstream, "poison");
    watch.recordBrokenResponse(upstream, `neighbour at ${upstream}`);
    watch.recordUnreachable(upstream);
  }
  strictEqual(watch.isBlocked("poison"), true);
  strictEqual(watch.isBlocked("neighbour at c"), false);
});

test("lost answers of an upstream that lives are no crash", () => {
  // The same read of one caller loses its answer again and again; refusing it
  // would take it from the caller for a minute.
  const { watch } = createFixture();
  for (let at = 0; at < 5; at++) watch.recordBrokenResponse("a", "read");
  strictEqual(watch.isBlocked("read"), false);
});

test("an answer clears the content", () => {
  const { watch } = createFixture();
  for (const upstream of ["a", "b"]) {
    watch.recordBrokenResponse(upstream, "read");
    watch.recordUnreachable(upstream);
  }
  watch.recordSuccess("read");
  watch.recordBrokenResponse("c", "read");
  watch.recordUnreachable("c");
  strictEqual(watch.isBlocked("read"), false);
});

test("other hosts learn of it from the second crash on", () => {
  const { watch, facts } = createFixture();
  const other = createFixture();
  for (const upstream of ["a", "b", "c"]) {
    watch.recordBrokenResponse(upstream, "poison");
    watch.recordUnreachable(upstream);
  }
  deepStrictEqual(facts.map((fact) => fact.version), [2, 3]);
  for (const fact of facts) other.watch.receive(fact);
  strictEqual(other.watch.isBlocked("poison"), true);
});

test("a connection that fails long after is no crash by the request", () => {
  const { clock, watch } = createFixture();
  for (const upstream of ["a", "b", "c"]) {
    watch.recordBrokenResponse(upstream, "read");
    clock.advance(3_000);
    watch.recordUnreachable(upstream);
  }
  strictEqual(watch.isBlocked("read"), false);
});
