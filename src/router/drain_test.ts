/**
 * Tests of a host's way out: who is served, who is refused, and what is waited
 * for. Time moves by hand.
 *
 * @module
 */

import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import * as Fiber from "effect/Fiber";
import { createManualClock } from "../core/mod.ts";
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

/** A response whose last byte leaves when the test says so. */
class FakeResponse extends EventEmitter {
  readonly headers = new Map<string, string>();
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

  /** Lets all that is ready run; the effects take a few turns. */
  async function settle(): Promise<void> {
    for (let turn = 0; turn < 10; turn++) {
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

/** Whether a caller that was told of the host just before is still served. */
async function isEarlierCallerServed(
  fixture: ReturnType<typeof createFixture>,
): Promise<boolean> {
  Effect.runFork(fixture.drain.run);
  await fixture.advance(WHERE_TTL_MS);
  return !fixture.drain.isRefusing();
}

test("a host serves on while callers may still be told of it", async () => {
  // An operator stops a host. Callers that asked where to go a moment ago keep
  // that answer for its time to live: refusing them at once would lose work
  // that another second would have served.
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

test("without that time a told caller is seen to be refused", async () => {
  const fixture = createFixture({ hasCallers: false });
  assert.equal(await isEarlierCallerServed(fixture), false);
});

test("a host without a configuration ends at once", async () => {
  const { drain, phases, settle } = createFixture({ hasCallers: false });
  const result = await Effect.runPromise(drain.run);
  await settle();
  assert.equal(phases.at(-1), "ended");
  assert.equal(result.cut, 0);
});

test("a slow reader gets its last byte", async () => {
  // The stream has ended for the router, but its reader is slow and most of the
  // answer waits in the connection's buffer. An exit now would cut it.
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

test("a kept connection is closed and other hosts are named", async () => {
  // A caller keeps its connection and would send its next request here: it has
  // to be told to go, and where.
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

test("waiting requests end before the limit, the rest at it", async () => {
  // A request waits for a slot and a stream runs on for longer than the limit.
  // Both callers must hear their end from this host, not from a broken line.
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
