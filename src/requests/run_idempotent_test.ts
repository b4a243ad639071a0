/**
 * Tests of streamed requests: every slot goes back once, and not before its
 * engine is done; what may have run is never told not run.
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
import { forkScheduled, runToRest } from "../testing/fake_io.ts";
import {
  createFakeHost,
  createFakeResponse,
  createFakeWorld,
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
type Fate = "good" | "refused" | "broken" | "silent" | "crash";

const fate = fc.constantFrom<Fate>(
  "good",
  "good",
  "good",
  "good",
  "refused",
  "broken",
  "silent",
  "crash",
);

const LENGTH = 4;

function fail(failure: UpstreamFailure): UpstreamError {
  return new UpstreamError({ failure, reason: failure });
}

/** One engine that restarts empty at once after a crash. */
function createEngine(s: fc.Scheduler, fates: Fate[]) {
  const streams = new Map<string, { produced: number; readers: number }>();
  let everBegan = false;

  async function meet(name: string): Promise<void> {
    const next = fates.shift() ?? "good";
    await s.schedule(Promise.resolve(), `${name} ${next}`);
    if (next === "good") return;
    // A process that refuses connections is down, with all that it had.
    if (next === "crash" || next === "refused") streams.clear();
    throw fail(next === "crash" ? "broken" : next);
  }

  function attempt<A>(run: () => Promise<A>): Effect.Effect<A, UpstreamError> {
    return Effect.tryPromise({
      try: run,
      catch: (err) => err as UpstreamError,
    });
  }

  function attach(id: string, from: number): EventStream {
    const stream = streams.get(id);
    if (stream === undefined) throw fail("forgotten");
    let offset = from;
    let isOpen = true;
    stream.readers++;
    const next = attempt(async (): Promise<StreamEvent | undefined> => {
      await meet("event");
      if (!streams.has(id)) throw fail("broken");
      stream.produced = Math.max(stream.produced, Math.min(LENGTH, offset + 1));
      if (offset === LENGTH) {
        streams.delete(id);
        const data = JSON.stringify({ tokens: LENGTH });
        return { name: "end", offset: LENGTH, data };
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
        const next = fates[0];
        if (next !== "refused") {
          everBegan = true;
          streams.set(stream, { produced: 0, readers: 0 });
        }
        await meet("generate");
        return attach(stream, 0);
      }),
    resume: ({ stream }, offset) =>
      attempt(async () => {
        await meet("resume");
        return attach(stream, offset);
      }),
    cancelIfUnread: ({ stream }) =>
      attempt(async () => {
        await meet("cancel");
        const tokens = streams.get(stream)?.produced ?? 0;
        streams.delete(stream);
        return { kind: "gone" as const, tokens };
      }),
  };
  return {
    client: client as UpstreamClient,
    countStreams: () => streams.size,
    everBegan: () => everBegan,
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
  readonly fates: readonly Fate[];
  /** Scheduler steps after which the caller vanishes; 0 for never. */
  readonly vanishesAt: number;
}

async function vanish(
  s: fc.Scheduler,
  fiber: Fiber.Fiber<unknown>,
  steps: number,
): Promise<void> {
  for (let step = 0; step < steps; step++) {
    await s.schedule(Promise.resolve(), "caller waits");
  }
  await Effect.runPromise(Fiber.interrupt(fiber));
}

/** Runs one request; tells how it ended and whether its slot came back early. */
async function runScenario(
  s: fc.Scheduler,
  scenario: Scenario,
  replaced: Partial<UpstreamClient> = {},
) {
  const world = createFakeWorld(s, 15);
  const engine = createEngine(s, [...scenario.fates]);
  let early = 0;
  const host = createFakeHost(world, "entry-1", {
    plan: { faults: [], diesAtCall: 0 },
    createUpstreams: () => ({ ...engine.client, ...replaced }),
    onRelease: () => {
      if (engine.countStreams() > host.getSlotsInUse()) early++;
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
  if (scenario.vanishesAt > 0) void vanish(s, fiber, scenario.vanishesAt);
  const ended = Effect.runPromise(Fiber.await(fiber));
  await s.waitFor(ended);
  const exit = await ended;
  const outcome = Exit.isSuccess(exit) ? exit.value : "vanished";
  await runToRest(s);
  const parts = [...answer.body.matchAll(/^id: (\d+)$/gm)].map((match) =>
    Number(match[1])
  );
  return { outcome, parts, early, engine, host };
}

test("a slot goes back once, after its engine is done, on every path", async () => {
  // Engines idled while requests waited: a caller had hung up, and its slot was
  // never given back. Or an engine ran two streams in one slot, since the slot
  // went back while the engine still worked for the caller that had left.
  await fc.assert(
    fc.asyncProperty(
      fc.scheduler(),
      fc.record({
        fates: fc.array(fate, { maxLength: 12 }),
        vanishesAt: fc.oneof(fc.constant(0), fc.integer({ min: 1, max: 30 })),
      }),
      async (s, scenario) => {
        const seen = await runScenario(s, scenario);
        const { outcome, parts, early, engine, host } = seen;
        assert.equal(host.getSlotsInUse(), 0);
        assert.equal(early, 0);
        assert.equal(engine.countStreams(), 0);
        assert.deepEqual(parts, parts.map((_, index) => index));
        if (outcome === "answered") assert.equal(parts.length, LENGTH);
        if (outcome === "not-run") assert.ok(!engine.everBegan());
      },
    ),
    { numRuns: 500, seed: 1 },
  );
});

test("without the cancellation a slot goes back too early", async () => {
  const cancelIfUnread: UpstreamClient["cancelIfUnread"] = () =>
    Effect.succeed({ kind: "gone", tokens: 0 });
  const found = await fc.check(
    fc.asyncProperty(
      fc.scheduler(),
      fc.integer({ min: 1, max: 30 }),
      async (s, vanishesAt) => {
        const scenario = { fates: [], vanishesAt };
        const seen = await runScenario(s, scenario, { cancelIfUnread });
        assert.equal(seen.early, 0);
      },
    ),
    { numRuns: 100, seed: 1 },
  );
  assert.ok(found.failed);
});
