import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import { createManualClock } from "../core/mod.ts";
import { createVersionQueries, type QueryResult } from "./version_queries.ts";

const question = { digest: "d", service: "s", confirmers: [] };

function createFixture() {
  const clock = createManualClock();
  const sent: string[] = [];
  const results: QueryResult[] = [];
  const queries = createVersionQueries({
    clock,
    send: (_question, peer) => void sent.push(peer),
  });
  return {
    queries,
    sent,
    results,
    ask: (peers = ["a", "b", "c"]) =>
      Effect.runFork(
        queries.ask(question, peers)
          .pipe(Effect.map((each) => void results.push(each))),
      ),
    async pass(ms: number) {
      clock.advance(ms);
      queries.tick();
      await new Promise(setImmediate);
    },
  };
}

test("the first answer that names a version ends the question", async () => {
  const fixture = createFixture();
  fixture.ask();
  fixture.queries.receive("d", { from: "b", answer: { kind: "not-known" } });
  await fixture.pass(0);
  strictEqual(fixture.results.length, 0);
  fixture.queries.receive("d", {
    from: "a",
    answer: { kind: "known", version: "v1" },
  });
  await fixture.pass(0);
  strictEqual(fixture.results[0]?.answers.length, 2);
  strictEqual(fixture.queries.getCount(), 0);
});

test("a question ends as soon as all hosts have said that they don't know", async () => {
  const fixture = createFixture();
  fixture.ask();
  for (const peer of ["a", "b", "b", "c"]) {
    fixture.queries.receive("d", { from: peer, answer: { kind: "not-known" } });
  }
  await fixture.pass(0);
  deepStrictEqual(fixture.results, [{
    asked: 3,
    answers: ["a", "b", "c"].map((from) => ({
      from,
      answer: { kind: "not-known" },
    })),
  }]);
});

test("hosts that don't answer are asked once more, and not waited for", async () => {
  const fixture = createFixture();
  fixture.ask();
  fixture.queries.receive("d", { from: "b", answer: { kind: "not-known" } });
  await fixture.pass(60);
  await fixture.pass(60);
  deepStrictEqual(fixture.sent, ["a", "b", "c", "a", "c"]);
  strictEqual(fixture.results.length, 0);
  await fixture.pass(80);
  strictEqual(fixture.results[0]?.answers.length, 1);
  strictEqual(fixture.queries.getCount(), 0);
});

test("a caller that leaves is asked for no longer", async () => {
  const fixture = createFixture();
  const fiber = fixture.ask();
  strictEqual(fixture.queries.getCount(), 1);
  await Effect.runPromise(Fiber.interrupt(fiber));
  strictEqual(fixture.queries.getCount(), 0);
  await fixture.pass(60);
  strictEqual(fixture.sent.length, 3);
});

test("a host that knows no other waits for nobody", async () => {
  const fixture = createFixture();
  fixture.ask([]);
  await fixture.pass(0);
  deepStrictEqual(fixture.results, [{ asked: 0, answers: [] }]);
});

test("questions beyond the limit end at once and without a datagram", async () => {
  const fixture = createFixture();
  for (let at = 0; at < 2_001; at++) fixture.ask(["a"]);
  await fixture.pass(0);
  strictEqual(fixture.queries.getCount(), 2_000);
  strictEqual(fixture.sent.length, 2_000);
  deepStrictEqual(fixture.results, [{ asked: 1, answers: [] }]);
});
