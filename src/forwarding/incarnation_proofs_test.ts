import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import type { UpstreamEntry } from "../discovery/mod.ts";
import { createIncarnationProofs } from "./incarnation_proofs.ts";
import type { UpstreamReport } from "./types.ts";

/** Proofs with an upstream whose reports are answered in order. */
function createFixture(...reports: UpstreamReport[]) {
  const clock = createManualClock();
  const asked: string[] = [];
  const proofs = createIncarnationProofs({
    clock,
    readReport(address) {
      asked.push(address);
      return Promise.resolve({ report: reports.shift()! });
    },
    log: () => {},
  });
  return { clock, proofs, asked };
}

const says = (incarnation: number): UpstreamReport => ({
  kind: "incarnation",
  incarnation,
});

const entry = (incarnation: number) =>
  ({ id: "i-1", address: "10.0.0.1:80", incarnation }) as UpstreamEntry;

test("a report proves older connections, but none that was made after its request", async () => {
  // Guards against a connection to a process that started after the report.
  const { clock, proofs, asked } = createFixture(says(7), says(8));
  const older = {};
  strictEqual(await proofs.prove(entry(7), older), true);
  clock.advance(1);
  strictEqual(proofs.prove(entry(7), older), true);
  strictEqual(await proofs.prove(entry(7), {}), false);
  strictEqual(asked.length, 2);
});

test("an upstream that says another incarnation is superseded until its entry changes", async () => {
  const { proofs } = createFixture(says(8), says(8));
  strictEqual(await proofs.prove(entry(7), {}), false);
  deepStrictEqual(
    [entry(7), entry(8)].map(proofs.isSuperseded),
    [true, false],
  );
  strictEqual(await proofs.prove(entry(8), {}), true);
});

test("a report that is missing proves nothing, and one that is not offered leaves the entry", async () => {
  const { proofs } = createFixture(
    { kind: "unknown", reason: "No report" },
    { kind: "not-offered" },
  );
  strictEqual(await proofs.prove(entry(7), {}), false);
  strictEqual(proofs.isSuperseded(entry(7)), false);
  strictEqual(await proofs.prove(entry(7), {}), true);
});

test("connections that wait at once share one report", async () => {
  // Guards against a probe for each stream after all connections have broken.
  const { proofs, asked } = createFixture(says(7));
  const all = [{}, {}, {}].map((each) => proofs.prove(entry(7), each));
  deepStrictEqual(await Promise.all(all), [true, true, true]);
  strictEqual(asked.length, 1);
});

test("a client error proves nothing at an upstream that has reported before", async () => {
  // Guards against one error that ends all proofs of an upstream.
  const { clock, proofs } = createFixture(says(7), { kind: "not-offered" });
  strictEqual(await proofs.prove(entry(7), {}), true);
  clock.advance(1);
  strictEqual(await proofs.prove(entry(7), {}), false);
});
