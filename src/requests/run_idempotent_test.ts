/**
 * Tests streamed requests: each slot is released once, and not before its
 * engine has stopped; a request that may have run never gets the outcome
 * "not-run".
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import * as Exit from "effect/Exit";
import * as Fiber from "effect/Fiber";
import fc from "fast-check";
import { getDigest } from "../core/mod.ts";
import { forkScheduled, runUntilIdle } from "../testing/fake_io.ts";
import {
  createFakeEnvironment,
  createFakeHost,
  createFakeResponse,
} from "../testing/fake_request_host.ts";
import type { AdmittedRequest } from "../types.ts";
import {
  type EventStream,
  type StreamEvent,
  type UpstreamClient,
  UpstreamError,
  type UpstreamFailure,
} from "../upstreams/mod.ts";
import type { ParsedCall } from "./parse.ts";
import { runIdempotent } from "./run_idempotent.ts";

/** What happens to one call or one event at the engine. */
type CallResult = "good" | "refused" | "broken" | "silent" | "crash";

const callResult = fc.constantFrom<CallResult>(
  "good",
  "good",
  "good",
  "good",
  "refused",
  "broken",
  "silent",
  "crash",
);

const STREAM_LENGTH = 4;

function fail(failure: UpstreamFailure): UpstreamError {
  return new UpstreamError({ failure, reason: failure });
}

/** An engine that restarts without streams at once after a crash. */
function createEngine(s: fc.Scheduler, callResults: CallResult[]) {
  const streams = new Map<string, { produced: number; readers: number }>();
  let hasStarted = false;

  async function applyNextResult(name: string): Promise<void> {
    const next = callResults.shift() ?? "good";
    await s.schedule(Promise.resolve(), `${name} ${next}`);
    if (next === "good") return;
    // A process that refuses connections is down and has lost its streams.
    if (next === "crash" || next === "refused") streams.clear();
    throw fail(next === "crash" ? "broken" : next);
  }

  function attempt<A>(run: () => Promise<A>): Effect.Effect<A, UpstreamError> {
    return Effect.tryPromise({
      try: run,
      catch: (err) => err as UpstreamError,
    });
  }

  function openStream(id: string, from: number): EventStream {
    const stream = streams.get(id);
    if (stream === undefined) throw fail("forgotten");
    let offset = from;
    let isOpen = true;
    stream.readers++;
    const next = attempt(async (): Promise<StreamEvent | undefined> => {
      await applyNextResult("event");
      if (!streams.has(id)) throw fail("broken");
      stream.produced = Math.max(
        stream.produced,
        Math.min(STREAM_LENGTH, offset + 1),
      );
      if (offset === STREAM_LENGTH) {
        streams.delete(id);
        const data = JSON.stringify({ tokens: STREAM_LENGTH });
        return { name: "end", offset: STREAM_LENGTH, data };
      }
      return { name: "token", offset: offset++, data: "part" };
    });
    return {
      next,
      close() {
        if (isOpen) stream.readers--;
        isOpen = false;
      },
    };
  }

  const client: Partial<UpstreamClient> = {
    generate: ({ stream }) =>
      attempt(async () => {
        const next = callResults[0];
        if (next !== "refused") {
          hasStarted = true;
          streams.set(stream, { produced: 0, readers: 0 });
        }
        await applyNextResult("generate");
        return openStream(stream, 0);
      }),
    resume: ({ stream }, offset) =>
      attempt(async () => {
        await applyNextResult("resume");
        return openStream(stream, offset);
      }),
    cancelIfUnread: ({ stream }) =>
      attempt(async () => {
        await applyNextResult("cancel");
        const tokens = streams.get(stream)?.produced ?? 0;
        streams.delete(stream);
        return { kind: "gone" as const, tokens };
      }),
  };
  return {
    client: client as UpstreamClient,
    countStreams: () => streams.size,
    hasStarted: () => hasStarted,
  };
}

const admitted: AdmittedRequest = {
  id: "request-1",
  team: "alder",
  service: "model",
  operation: "generate",
  arrivedMs: 0,
  deadlineMs: 2_000_000,
  expectedCost: 1,
  fingerprint: getDigest("survey"),
};

const call = {
  team: { id: "alder", weight: 1, keyDigest: "", maxQueued: 10 },
  service: { id: "model", kind: "engine" },
  operation: { name: "generate", idempotent: true },
  body: "{}",
  timeoutMs: 30_000,
  idempotencyKey: "",
  costHint: undefined,
  fingerprint: getDigest("survey"),
} as unknown as ParsedCall;

interface Scenario {
  readonly callResults: readonly CallResult[];
  /** Scheduler steps after which the caller disconnects; 0 for never. */
  readonly callerSteps: number;
}

async function disconnect(
  s: fc.Scheduler,
  fiber: Fiber.Fiber<unknown>,
  steps: number,
): Promise<void> {
  for (let step = 0; step < steps; step++) {
    await s.schedule(Promise.resolve(), "caller waits");
  }
  await Effect.runPromise(Fiber.interrupt(fiber));
}

/**
 * Runs one request; returns its outcome, and how often its slot was released
 * while the engine was still working.
 */
async function runScenario(
  s: fc.Scheduler,
  scenario: Scenario,
  overrides: Partial<UpstreamClient> = {},
) {
  const world = createFakeEnvironment(s, 15);
  const engine = createEngine(s, [...scenario.callResults]);
  let earlyReleases = 0;
  const host = createFakeHost(world, "entry-1", {
    plan: { faults: [], crashesAtCall: 0 },
    createUpstreams: () => ({ ...engine.client, ...overrides }),
    onRelease: () => {
      if (engine.countStreams() > host.getSlotsInUse()) earlyReleases++;
    },
  });
  const answer = { outcome: "", status: 0, body: "" };
  const res = createFakeResponse(answer);
  const run = runIdempotent(host.serveHost, admitted, call, res).pipe(
    Effect.match({
      onSuccess: () => "answered",
      onFailure: (err) =>
        err._tag === "CallerLost" ? "vanished" : err.reply.outcome,
    }),
  );
  const fiber = forkScheduled(s, run, 15);
  if (scenario.callerSteps > 0) void disconnect(s, fiber, scenario.callerSteps);
  const ended = Effect.runPromise(Fiber.await(fiber));
  await s.waitFor(ended);
  const exit = await ended;
  const outcome = Exit.isSuccess(exit) ? exit.value : "vanished";
  await runUntilIdle(s);
  const parts = [...answer.body.matchAll(/^id: (\d+)$/gm)].map((match) =>
    Number(match[1])
  );
  return { outcome, parts, earlyReleases, engine, host };
}

test("a slot is released once, after its engine has stopped", async () => {
  // Guards against two faults: a slot is never released after its caller
  // disconnects, so that the engine stays idle while requests wait; or it is
  // released while the engine still works for that caller, so that the engine
  // runs two streams in one slot.
  await fc.assert(
    fc.asyncProperty(
      fc.scheduler(),
      fc.record({
        callResults: fc.array(callResult, { maxLength: 12 }),
        callerSteps: fc.oneof(
          fc.constant(0),
          fc.integer({ min: 1, max: 30 }),
        ),
      }),
      async (s, scenario) => {
        const seen = await runScenario(s, scenario);
        const { outcome, parts, earlyReleases, engine, host } = seen;
        assert.equal(host.getSlotsInUse(), 0);
        assert.equal(earlyReleases, 0);
        assert.equal(engine.countStreams(), 0);
        assert.deepEqual(parts, parts.map((_, index) => index));
        if (outcome === "answered") assert.equal(parts.length, STREAM_LENGTH);
        if (outcome === "not-run") assert.ok(!engine.hasStarted());
      },
    ),
    { numRuns: 500, seed: 1 },
  );
});

test("without the cancellation a slot is released too early", async () => {
  const cancelIfUnread: UpstreamClient["cancelIfUnread"] = () =>
    Effect.succeed({ kind: "gone", tokens: 0 });
  const found = await fc.check(
    fc.asyncProperty(
      fc.scheduler(),
      fc.integer({ min: 1, max: 30 }),
      async (s, callerSteps) => {
        const scenario = { callResults: [], callerSteps };
        const seen = await runScenario(s, scenario, { cancelIfUnread });
        assert.equal(seen.earlyReleases, 0);
      },
    ),
    { numRuns: 100, seed: 1 },
  );
  assert.ok(found.failed);
});
