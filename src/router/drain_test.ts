/**
 * Tests of a drain: which requests are served or refused, and what the drain
 * waits for. They use a manual clock.
 *
 * @module
 */

import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { Socket } from "node:net";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import { createManualClock } from "../core/mod.ts";
import { createPipelinedResponses } from "../testing/pipelined_responses.ts";
import {
  createDrain,
  type Drain,
  type DrainPhase,
  LEAVE_PROPAGATION_MS,
  OTHER_HOSTS_HEADER,
} from "./drain.ts";

const WHERE_TTL_MS = 5_000;
const DRAIN_LIMIT_MS = 60_000;
const LEAVING_MS = WHERE_TTL_MS + LEAVE_PROPAGATION_MS;

/** A response whose connection closes when the test calls `finish`. */
class FakeResponse extends EventEmitter {
  readonly headers = new Map<string, string>();
  readonly req = { socket: new Socket() };
  headersSent = false;
  writableEnded = false;
  destroyed = false;
  body = "";

  setHeader(name: string, value: string): void {
    this.headers.set(name, value);
  }
  writeHead(): void {
    this.headersSent = true;
  }
  end(body: string): void {
    this.writableEnded = true;
    this.body += body;
  }
  finish(): void {
    this.emit("close");
  }
}

function createFixture(input: { hasCallers?: boolean } = {}) {
  const clock = createManualClock();
  const sleepers: { untilMs: number; wake: () => void }[] = [];
  const phases: DrainPhase[] = [];
  let isAdvertised = true;

  const drain = createDrain({
    clock,
    sleep: (ms) =>
      Effect.promise(() =>
        new Promise<void>((wake) =>
          sleepers.push({ untilMs: clock.monotonicMs() + ms, wake })
        )
      ),
    hasCallers: () => input.hasCallers ?? true,
    announceLeaving: () => isAdvertised = false,
    getOtherHosts: () => ["10.0.0.2:80", "10.0.0.3:80"],
    onPhase: (phase) => phases.push(phase),
  }, { whereTtlMs: WHERE_TTL_MS, drainLimitMs: DRAIN_LIMIT_MS });

  /**
   * Runs all pending effects, which take a few iterations of the event loop.
   */
  async function settle(): Promise<void> {
    for (let iteration = 0; iteration < 10; iteration++) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }

  async function advance(ms: number): Promise<void> {
    const endMs = clock.monotonicMs() + ms;
    while (clock.monotonicMs() < endMs) {
      const nextMs = Math.min(endMs, ...sleepers.map((each) => each.untilMs));
      clock.advance(Math.max(1, nextMs - clock.monotonicMs()));
      for (const due of sleepers.splice(0)) {
        if (due.untilMs <= clock.monotonicMs()) due.wake();
        else sleepers.push(due);
      }
      await settle();
    }
  }

  return { drain, phases, settle, advance, isAdvertised: () => isAdvertised };
}

function serve(drain: Drain, effect: Effect.Effect<void> = Effect.never) {
  const res = new FakeResponse();
  const tracked = drain.track(res as unknown as ServerResponse, effect);
  return { res, fiber: Effect.runFork(tracked) };
}

/**
 * Whether a caller with a `/where` response from before the drain is served.
 */
async function isEarlierCallerServed(
  fixture: ReturnType<typeof createFixture>,
): Promise<boolean> {
  Effect.runFork(fixture.drain.run);
  await fixture.advance(WHERE_TTL_MS);
  return !fixture.drain.isRefusing();
}

test("a leaving host serves callers that may have cached its address", async () => {
  // An operator stops a host. Callers cache an earlier `/where` response for
  // its time to live; refusing them at once would fail requests that the host
  // could still serve.
  const fixture = createFixture();
  assert.equal(await isEarlierCallerServed(fixture), true);
  assert.equal(fixture.isAdvertised(), false);
  await fixture.advance(LEAVE_PROPAGATION_MS - 100);
  assert.equal(fixture.drain.isRefusing(), false);
  await fixture.advance(200);
  assert.deepEqual(fixture.phases, [
    "leaving",
    "refusing",
    "giving-up",
    "ended",
  ]);
});

test("without the leaving phase a caller with a cached address is refused", async () => {
  const fixture = createFixture({ hasCallers: false });
  assert.equal(await isEarlierCallerServed(fixture), false);
});

test("a host without a configuration drains at once", async () => {
  const { drain, phases, settle } = createFixture({ hasCallers: false });
  const result = await Effect.runPromise(drain.run);
  await settle();
  assert.equal(phases.at(-1), "ended");
  assert.equal(result.cut, 0);
});

test("a drain waits until a slow reader has received its response", async () => {
  // The stream has ended, but most of the response is still in the connection's
  // buffer, since the caller reads slowly. An exit now would truncate it.
  const { drain, phases, advance } = createFixture();
  const { res, fiber } = serve(drain, Effect.void);
  await Effect.runPromise(Fiber.await(fiber));
  const run = Effect.runFork(drain.run);
  await advance(LEAVING_MS + 20_000);
  assert.equal(phases.at(-1), "refusing");
  assert.equal(drain.countInFlight(), 1);
  res.finish();
  await advance(1_000);
  const exit = await Effect.runPromise(Fiber.join(run));
  assert.equal(exit.cut, 0);
});

test("keep-alive connections are closed and other hosts are listed", async () => {
  // A caller with a keep-alive connection would send its next request to this
  // host, unless it is told to close the connection and which hosts to use.
  const { drain, advance, settle } = createFixture();
  const early = serve(drain);
  Effect.runFork(drain.run);
  await settle();
  const late = serve(drain);
  assert.equal(early.res.headers.get("connection"), "close");
  assert.equal(late.res.headers.get("connection"), "close");
  assert.equal(late.res.headers.has(OTHER_HOSTS_HEADER), false);
  await advance(LEAVING_MS + 100);
  const refused = serve(drain);
  assert.equal(
    refused.res.headers.get(OTHER_HOSTS_HEADER),
    "10.0.0.2:80, 10.0.0.3:80",
  );
});

test("waiting requests end before the limit, running ones at the limit", async () => {
  // A request waits for a slot, and a stream runs for longer than the limit.
  // Both callers must get a final reply instead of a broken connection.
  const { drain, advance } = createFixture();
  let isTimedOut = false;
  const waiting = serve(
    drain,
    drain.waitUntilDrainTimeout.pipe(
      Effect.map(() => void (isTimedOut = true)),
    ),
  );
  const stream = serve(drain);
  stream.res.headersSent = true;
  const run = Effect.runFork(drain.run);
  await advance(DRAIN_LIMIT_MS - 3_000);
  assert.equal(isTimedOut, false);
  await advance(1_500);
  assert.equal(isTimedOut, true);
  assert.equal(stream.res.writableEnded, false);
  waiting.res.finish();
  await advance(2_000);
  const exit = await Effect.runPromise(Fiber.join(run));
  assert.equal(exit.cut, 1);
  assert.match(stream.res.body, /may-have-run/);
});

test("pipelined responses are not in flight for ever once their connection is reset", async () => {
  const { drain, settle } = createFixture();
  const socket = new Socket();
  const responses = createPipelinedResponses(socket, 3);
  responses[0]!.assignSocket(socket);
  for (const res of responses) Effect.runFork(drain.track(res, Effect.never));
  assert.equal(drain.countInFlight(), 3);
  socket.destroy();
  await settle();
  assert.equal(drain.countInFlight(), 0);
});
