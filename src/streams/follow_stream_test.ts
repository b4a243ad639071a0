/**
 * Tests that a followed stream has no gap, no repeat and nothing of another,
 * whatever its connections do; and of tokens and abandoned streams.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import * as Result from "effect/Result";
import fc from "fast-check";
import { checkHistory, statedLimits } from "../proof/mod.ts";
import {
  type EventStream,
  type StreamEvent,
  UpstreamError,
} from "../upstreams/mod.ts";
import { followStream, type StreamProgress } from "./follow_stream.ts";
import { createResumeToken, tryReadResumeToken } from "./token.ts";

/** What a connection does to one event before it goes on to the next. */
type Mangle =
  | "pass"
  | "drop"
  | "repeat"
  | "late"
  | "break"
  | "silent"
  | "close";

const mangle = fc.constantFrom<Mangle>(
  "pass",
  "pass",
  "pass",
  "drop",
  "repeat",
  "late",
  "break",
  "silent",
  "close",
);

/** The mangles of each connection in turn; later events and ones pass. */
const connections = fc.array(fc.array(mangle, { maxLength: 12 }), {
  maxLength: 6,
});

interface EngineOptions {
  readonly length: number;
  readonly connections: readonly (readonly Mangle[])[];
  /** Resumptions from this one on find the stream gone; 0 for never. */
  readonly forgetsAt: number;
}

function createEngine(options: EngineOptions) {
  const { length, forgetsAt } = options;
  const plans = [...options.connections];
  let resumes = 0;

  function getEvents(offset: number): StreamEvent[] {
    const tokens = Array.from({ length: length - offset }, (_, index) => ({
      name: "token",
      offset: offset + index,
      data: `part ${offset + index}`,
    }));
    const data = JSON.stringify({ tokens: length });
    return [...tokens, { name: "end", offset: length, data }];
  }

  function open(offset: number): EventStream {
    const plan = [...plans.shift() ?? []];
    const left = getEvents(offset);
    const next = (): StreamEvent | undefined => {
      const event = left.shift();
      if (event === undefined) return undefined;
      switch (plan.shift() ?? "pass") {
        case "pass":
          return event;
        case "drop":
          return next();
        case "repeat":
          left.unshift(event);
          return event;
        case "late":
          left.splice(2, 0, event);
          return next();
        case "break":
          throw createError("broken");
        case "silent":
          throw createError("silent");
        case "close":
          return undefined;
      }
    };
    return {
      next: Effect.try({ try: next, catch: (err) => err as UpstreamError }),
      close() {},
    };
  }

  return {
    open,
    resume: (offset: number) =>
      Effect.suspend(() => {
        resumes++;
        const isForgotten = forgetsAt > 0 && resumes >= forgetsAt;
        return isForgotten
          ? Effect.fail(createError("forgotten"))
          : Effect.succeed(open(offset));
      }),
  };
}

function createError(failure: UpstreamError["failure"]): UpstreamError {
  return new UpstreamError({ failure, reason: failure });
}

async function follow(options: EngineOptions) {
  const engine = createEngine(options);
  const delivered: string[] = [];
  const progress: StreamProgress = { nextOffset: 0, cost: 0 };
  const followed = followStream<never>(engine.open(0), progress, {
    resume: engine.resume,
    deliver: (event) => Effect.sync(() => void delivered.push(event.data)),
    onResumed() {},
  });
  const result = await Effect.runPromise(Effect.result(followed));
  return { delivered, progress, isWhole: Result.isSuccess(result) };
}

/** Passes on what comes, as if connections could be trusted. */
async function followBlindly(options: EngineOptions) {
  const engine = createEngine(options);
  const delivered: string[] = [];
  let stream = engine.open(0);
  for (let opened = 0; opened < 20; opened++) {
    const event = await Effect.runPromise(Effect.result(stream.next));
    if (Result.isFailure(event) || event.success === undefined) {
      stream = engine.open(delivered.length);
    } else if (event.success.name === "end") {
      return { delivered, isWhole: true };
    } else {
      opened--;
      delivered.push(event.success.data);
    }
  }
  return { delivered, isWhole: false };
}

/** Violations of a history in which one caller got the parts. */
function check(
  length: number,
  got: { readonly delivered: readonly string[]; readonly isWhole: boolean },
) {
  const { delivered, isWhole } = got;
  const expected = Array.from({ length }, (_, index) => `part ${index}`);
  const wanted = isWhole ? expected : expected.slice(0, delivered.length);
  const fault = wanted.join() === delivered.join() ? "" : `Got ${delivered}`;
  return checkHistory([{
    kind: "request-ended",
    sending: "1",
    // An incomplete answer is held to the same: no gap, no repeat.
    outcome: "answered",
    request: "1",
    fault,
    host: "entry-1",
    atMs: 1,
  }], statedLimits);
}

const engineOptions = fc.record({
  length: fc.integer({ min: 0, max: 20 }),
  connections,
  forgetsAt: fc.constantFrom(0, 0, 0, 1, 2, 3),
});

test("a followed stream has no gap and no repeat", async () => {
  // A glue advice lost its clamping time: the connection to the engine lost an
  // event and went on, and another time the engine sent old events again after
  // a resumption, and the text had a sentence twice.
  await fc.assert(
    fc.asyncProperty(engineOptions, async (options) => {
      const got = await follow(options);
      assert.deepEqual(check(options.length, got), []);
      if (got.isWhole) assert.equal(got.progress.cost, options.length);
    }),
    { numRuns: 2_000, seed: 1 },
  );
});

test("without offsets the checker reports a broken answer", async () => {
  const found = await fc.check(
    fc.asyncProperty(engineOptions, async (options) => {
      const got = await followBlindly(options);
      assert.deepEqual(check(options.length, got), []);
    }),
    { numRuns: 500, seed: 1 },
  );
  assert.ok(found.failed);
});

test("a stream ends whole when every connection brings something", async () => {
  // Each connection goes silent after three parts, as when something between
  // loses track of it. The answer still arrives, by ten resumptions.
  const silences = Array.from(
    { length: 10 },
    (): Mangle[] => ["pass", "pass", "pass", "silent"],
  );
  const options = { length: 30, connections: silences, forgetsAt: 0 };
  const got = await follow(options);
  assert.ok(got.isWhole);
  assert.equal(got.delivered.length, 30);
});

test("a stream whose connections bring nothing is given up", async () => {
  const silences = Array.from({ length: 10 }, (): Mangle[] => ["silent"]);
  const options = { length: 5, connections: silences, forgetsAt: 0 };
  const got = await follow(options);
  assert.ok(!got.isWhole);
  assert.deepEqual(got.delivered, []);
});

test("a resume token names its stream and can't be changed", () => {
  // One firm reads its rival's survey: it changes the team in its own token.
  fc.assert(
    fc.property(
      fc.array(fc.string(), { minLength: 5, maxLength: 5 }),
      fc.nat(),
      fc.nat(),
      (parts, incarnation, position) => {
        const [team = "", service = "", upstream = ""] = parts;
        const [stream = "", host = ""] = parts.slice(3);
        const name = { team, service, upstream, stream, host, incarnation };
        const token = createResumeToken(name, "secret-1");
        assert.deepEqual(tryReadResumeToken(token, "secret-1"), name);
        assert.equal(tryReadResumeToken(token, "secret-2"), undefined);
        const at = position % token.length;
        const other = token[at] === "A" ? "B" : "A";
        const changed = token.slice(0, at) + other + token.slice(at + 1);
        assert.equal(tryReadResumeToken(changed, "secret-1"), undefined);
      },
    ),
    { numRuns: 200, seed: 1 },
  );
});
