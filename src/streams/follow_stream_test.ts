/**
 * Tests that a followed stream has no gaps and no repeats under any faults of
 * its connections, and tests of resume tokens.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import * as Result from "effect/Result";
import fc from "fast-check";
import { checkHistory, documentedLimits } from "../proof/mod.ts";
import {
  type EventStream,
  type StreamEvent,
  UpstreamError,
} from "../upstreams/mod.ts";
import { followStream, type StreamProgress } from "./follow_stream.ts";
import { createResumeToken, tryVerifyResumeToken } from "./token.ts";

/** Fault that a connection applies to one event; "pass" for none. */
type StreamFault =
  | "pass"
  | "drop"
  | "repeat"
  | "late"
  | "break"
  | "silent"
  | "close";

const streamFault = fc.constantFrom<StreamFault>(
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

/** Faults of each connection; events and connections without one pass. */
const connections = fc.array(fc.array(streamFault, { maxLength: 12 }), {
  maxLength: 6,
});

interface EngineOptions {
  readonly length: number;
  readonly connections: readonly (readonly StreamFault[])[];
  /** Number of the first resumption that finds the stream gone; 0 for none. */
  readonly forgetsAt: number;
}

function createEngine(options: EngineOptions) {
  const { length, forgetsAt } = options;
  const faultPlans = [...options.connections];
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
    const faults = [...faultPlans.shift() ?? []];
    const remaining = getEvents(offset);
    const next = (): StreamEvent | undefined => {
      const event = remaining.shift();
      if (event === undefined) return undefined;
      switch (faults.shift() ?? "pass") {
        case "pass":
          return event;
        case "drop":
          return next();
        case "repeat":
          remaining.unshift(event);
          return event;
        case "late":
          remaining.splice(2, 0, event);
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
  return { delivered, progress, isComplete: Result.isSuccess(result) };
}

/** Delivers every event without checking its offset. */
async function followWithoutOffsets(options: EngineOptions) {
  const engine = createEngine(options);
  const delivered: string[] = [];
  let stream = engine.open(0);
  for (let opened = 0; opened < 20; opened++) {
    const event = await Effect.runPromise(Effect.result(stream.next));
    if (Result.isFailure(event) || event.success === undefined) {
      stream = engine.open(delivered.length);
    } else if (event.success.name === "end") {
      return { delivered, isComplete: true };
    } else {
      opened--;
      delivered.push(event.success.data);
    }
  }
  return { delivered, isComplete: false };
}

/** Checks the history of one caller that received the given parts. */
function findViolations(
  length: number,
  got: {
    readonly delivered: readonly string[];
    readonly isComplete: boolean;
  },
) {
  const { delivered, isComplete } = got;
  const expected = Array.from({ length }, (_, index) => `part ${index}`);
  const wanted = isComplete ? expected : expected.slice(0, delivered.length);
  const fault = wanted.join() === delivered.join() ? "" : `Got ${delivered}`;
  return checkHistory([{
    kind: "request-ended",
    sending: "1",
    // An incomplete response must have no gaps and no repeats either.
    outcome: "answered",
    request: "1",
    fault,
    host: "entry-1",
    atMs: 1,
  }], documentedLimits);
}

const engineOptions = fc.record({
  length: fc.integer({ min: 0, max: 20 }),
  connections,
  forgetsAt: fc.constantFrom(0, 0, 0, 1, 2, 3),
});

test("a followed stream has no gap and no repeat", async () => {
  // Guards against missing text after a connection lost an event and continued,
  // and against repeated text after an engine resent old events on resumption.
  await fc.assert(
    fc.asyncProperty(engineOptions, async (options) => {
      const got = await follow(options);
      assert.deepEqual(findViolations(options.length, got), []);
      if (got.isComplete) assert.equal(got.progress.cost, options.length);
    }),
    { numRuns: 2_000, seed: 1 },
  );
});

test("without offset checks the checker reports a corrupt response", async () => {
  const found = await fc.check(
    fc.asyncProperty(engineOptions, async (options) => {
      const got = await followWithoutOffsets(options);
      assert.deepEqual(findViolations(options.length, got), []);
    }),
    { numRuns: 500, seed: 1 },
  );
  assert.ok(found.failed);
});

test("a stream completes if every connection delivers some tokens", async () => {
  // Each connection goes silent after three tokens, as when a device on the
  // path drops its state. The response still arrives, through ten resumptions.
  const silentConnections = Array.from(
    { length: 10 },
    (): StreamFault[] => ["pass", "pass", "pass", "silent"],
  );
  const options = { length: 30, connections: silentConnections, forgetsAt: 0 };
  const got = await follow(options);
  assert.ok(got.isComplete);
  assert.equal(got.delivered.length, 30);
});

test("a stream fails if its connections deliver nothing", async () => {
  const silences = Array.from({ length: 10 }, (): StreamFault[] => ["silent"]);
  const options = { length: 5, connections: silences, forgetsAt: 0 };
  const got = await follow(options);
  assert.ok(!got.isComplete);
  assert.deepEqual(got.delivered, []);
});

test("a resume token identifies its stream and can't be altered", () => {
  // Guards against a caller that reads another team's stream by altering the
  // team in its own token.
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
        assert.deepEqual(tryVerifyResumeToken(token, "secret-1"), name);
        assert.equal(tryVerifyResumeToken(token, "secret-2"), undefined);
        const at = position % token.length;
        const other = token[at] === "A" ? "B" : "A";
        const changed = token.slice(0, at) + other + token.slice(at + 1);
        assert.equal(tryVerifyResumeToken(changed, "secret-1"), undefined);
      },
    ),
    { numRuns: 200, seed: 1 },
  );
});
