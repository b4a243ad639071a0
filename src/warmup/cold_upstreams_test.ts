import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import { createColdUpstreams, type WarmUpEntry } from "./cold_upstreams.ts";

const DURATION_MS = 3_000;

const one: WarmUpEntry = {
  id: "one",
  service: "model",
  dataCentre: "wuse",
  incarnation: 1,
  warmUpLeftMs: 0,
};

function createFixture() {
  const clock = createManualClock(10_000);
  const reasons: string[] = [];
  let version = 0;
  const cold = createColdUpstreams({
    clock,
    tryGetLimit: (service) =>
      service === "model"
        ? { durationMs: DURATION_MS, requestsPerSecond: 9 }
        : undefined,
    onCold: ({ id }, reason) => reasons.push(`${id} ${reason}`),
  });
  return {
    clock,
    cold,
    reasons,
    /** Applies a table in which each entry is a new version. */
    update: (...entries: readonly WarmUpEntry[]) =>
      cold.update(entries.map((value) => ({ version: ++version, value }))),
  };
}

test("an upstream is cold for as long as its entry says", () => {
  const { clock, cold, reasons, update } = createFixture();
  update({ ...one, warmUpLeftMs: 2_000 });
  strictEqual(cold.getLeftMs(one), 2_000);
  clock.advance(1_999);
  strictEqual(cold.getLeftMs(one), 1);
  clock.advance(1);
  strictEqual(cold.getLeftMs(one), 0);
  deepStrictEqual(reasons, ["one entry"]);
});

test("an entry that was not written again does not make its upstream cold again", () => {
  // Guards against upstreams that stay cold while the platform is unavailable
  // and other rows change.
  const { clock, cold } = createFixture();
  const row = { version: 1, value: { ...one, warmUpLeftMs: 2_000 } };
  cold.update([row]);
  clock.advance(5_000);
  cold.update([row]);
  strictEqual(cold.getLeftMs(one), 0);
});

test("an upstream that says nothing of its warm-up counts as cold after its start", () => {
  const { clock, cold, reasons, update } = createFixture();
  update({ ...one, warmUpLeftMs: undefined });
  strictEqual(cold.getLeftMs(one), DURATION_MS);
  clock.advance(DURATION_MS);
  update({ ...one, warmUpLeftMs: undefined });
  strictEqual(cold.getLeftMs(one), 0);
  update({ ...one, incarnation: 2, warmUpLeftMs: undefined });
  strictEqual(cold.getLeftMs({ ...one, incarnation: 2 }), DURATION_MS);
  deepStrictEqual(reasons, ["one unknown", "one unknown"]);
});

test("an upstream that started long ago and says nothing is warm", () => {
  // Guards against hosts that refuse all requests for seconds after a restart.
  const { clock, cold, update } = createFixture();
  clock.advance(60_000);
  update({ ...one, warmUpLeftMs: undefined });
  strictEqual(cold.getLeftMs(one), 0);
});

test("a start under an old id that is not in the table yet counts as cold", () => {
  const { cold, update } = createFixture();
  update(one);
  strictEqual(cold.getLeftMs({ ...one, incarnation: 2 }), DURATION_MS);
});

test("an upstream whose row has expired keeps what is known of it", () => {
  // Guards against upstreams that all count as cold while the platform loses
  // their rows in an outage.
  const { cold, update } = createFixture();
  update(one);
  update();
  strictEqual(cold.getLeftMs(one), 0);
});

test("the upstreams of a data centre are cold after its evacuation", () => {
  const { clock, cold, update } = createFixture();
  const other = { ...one, id: "other", dataCentre: "lekki" };
  update(one, other);
  cold.recordEvacuationEnded("wuse");
  strictEqual(cold.getLeftMs(one), DURATION_MS);
  strictEqual(cold.getLeftMs(other), 0);
  strictEqual(cold.count(), 1);
  clock.advance(DURATION_MS);
  strictEqual(cold.count(), 0);
});

test("an upstream that became cold again is cold by its entry or its answer", () => {
  const { cold, reasons, update } = createFixture();
  update(one);
  update({ ...one, warmUpLeftMs: 2_000 });
  strictEqual(cold.getLeftMs(one), 2_000);
  cold.recordStated(one, 2_500);
  strictEqual(cold.getLeftMs(one), 2_500);
  cold.recordStated({ ...one, incarnation: 2 }, 9_000);
  strictEqual(cold.getLeftMs(one), 2_500);
  deepStrictEqual(reasons, ["one entry"]);
});

test("a service without a warm-up has no cold upstreams", () => {
  const { cold, update } = createFixture();
  const plain = { ...one, service: "plain", warmUpLeftMs: undefined };
  update(plain);
  strictEqual(cold.getLeftMs(plain), 0);
  strictEqual(cold.count(), 0);
});
