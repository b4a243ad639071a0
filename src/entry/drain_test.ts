import { deepStrictEqual, strictEqual } from "node:assert";
import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import * as Effect from "effect/Effect";
import { createManualClock, runAfterPendingReads } from "../core/mod.ts";
import { createPipelinedResponses } from "../testing/pipelined_responses.ts";
import { createDrain } from "./drain.ts";

const GRACE_MS = 8_000;

function createFixture() {
  const clock = createManualClock(1_000);
  const phases: string[] = [];
  const handoffs = { count: 0 };
  const drain = createDrain({
    clock,
    graceMs: GRACE_MS,
    countHandoffs: () => handoffs.count,
    announceLeaving: () => phases.push("told"),
    onPhase: (phase) => phases.push(phase),
  });
  const mayStart = (timeoutMs: number) =>
    drain.mayStartRequest(clock.monotonicMs() + timeoutMs);
  return { clock, drain, handoffs, mayStart, phases };
}

function createResponse() {
  const headers = new Map<string, string>();
  const res = Object.assign(new EventEmitter(), {
    headersSent: false,
    req: { socket: new Socket() },
    setHeader: (name: string, value: string) => headers.set(name, value),
  });
  return { res: res as unknown as ServerResponse, headers };
}

test("a host that is not draining starts every request", () => {
  const { drain, mayStart } = createFixture();
  strictEqual(mayStart(60_000), true);
  strictEqual(drain.isDraining(), false);
});

test("a draining host refuses requests that can't complete in time, and starts others", async () => {
  // Callers still send requests on kept-alive connections 6.7 s after SIGTERM.
  // A stream of 5 s that started then would be cut off by SIGKILL; a call of
  // 0.9 s completes in time.
  const { clock, drain, mayStart, phases } = createFixture();
  const running = Effect.runPromise(drain.run(clock.monotonicMs()));
  await Promise.resolve();
  clock.advance(1_900);
  strictEqual(mayStart(8_000), true);
  clock.advance(4_500);
  strictEqual(mayStart(5_000), false);
  strictEqual(mayStart(900), true);
  clock.advance(1_300);
  deepStrictEqual(await running, { cut: 0, tookMs: 7_700 });
  deepStrictEqual(phases, ["told", "leaving", "ending"]);
});

test("a long stream that arrives three seconds after the signal is not started", async () => {
  // Guards against a stream that is cut off by the end of the grace period.
  // During a rolling restart, a stream of 10 s arrived 3.03 s after SIGTERM,
  // which this host had received a little later. The stream was started and cut
  // off. A refused caller is served by another host at once.
  const { clock, drain, mayStart } = createFixture();
  const running = Effect.runPromise(drain.run(clock.monotonicMs()));
  await Promise.resolve();
  clock.advance(2_950);
  strictEqual(mayStart(15_000), false);
  clock.advance(GRACE_MS);
  await running;
});

test("each response of a draining host closes its connection", async () => {
  const { clock, drain } = createFixture();
  const before = createResponse();
  drain.track(before.res);
  const running = Effect.runPromise(drain.run(clock.monotonicMs()));
  await Promise.resolve();
  const after = createResponse();
  drain.track(after.res);
  strictEqual(before.headers.get("connection"), "close");
  strictEqual(after.headers.get("connection"), "close");
  clock.advance(GRACE_MS);
  strictEqual((await running).cut, 2);
});

test("a drain waits for handed-off connections, and counts those that it cuts off", async () => {
  // Guards against a relay that its origin aborts within the grace period.
  const { clock, drain, handoffs } = createFixture();
  handoffs.count = 2;
  const running = Effect.runPromise(drain.run(clock.monotonicMs()));
  let hasEnded = false;
  void running.then(() => hasEnded = true);
  await Promise.resolve();
  strictEqual(drain.countInFlight(), 2);
  clock.advance(GRACE_MS * 7 / 8);
  // Longer than the interval of the drain's checks.
  await sleep(120);
  strictEqual(hasEnded, false);
  handoffs.count = 1;
  clock.advance(GRACE_MS / 8);
  strictEqual((await running).cut, 1);
});

test("pipelined responses are not in flight for ever once their connection is reset", async () => {
  const { drain } = createFixture();
  const socket = new Socket();
  const responses = createPipelinedResponses(socket, 3);
  responses[0]!.assignSocket(socket);
  for (const res of responses) drain.track(res);
  strictEqual(drain.countInFlight(), 3);
  socket.destroy();
  await new Promise<void>((resolve) => runAfterPendingReads(resolve));
  strictEqual(drain.countInFlight(), 0);
});

test("no request starts once the drain has ended, while sockets are being closed", async () => {
  // Guards against a request that is sent on and loses its connection.
  const { clock, drain, mayStart } = createFixture();
  const running = Effect.runPromise(drain.run(clock.monotonicMs()));
  clock.advance(GRACE_MS * 3 / 4);
  await running;
  strictEqual(mayStart(0), false);
});

test("a drain that begins late after its signal ends no later", async () => {
  // Guards against SIGKILL in the middle of a drain.
  const { clock, drain, mayStart } = createFixture();
  const { res } = createResponse();
  drain.track(res);
  const askedMs = clock.monotonicMs();
  clock.advance(5_000);
  const running = Effect.runPromise(drain.run(askedMs));
  await Promise.resolve();
  deepStrictEqual([mayStart(2_500), mayStart(2_700)], [true, false]);
  clock.advance(2_600);
  deepStrictEqual(await running, { cut: 1, tookMs: 7_600 });
});
