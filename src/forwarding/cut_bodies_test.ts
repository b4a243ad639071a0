import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { Buffer } from "node:buffer";
import { Agent, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import * as Effect from "effect/Effect";
import { listen } from "../entry/servers.ts";
import type { CallerResponse } from "../testing/forward_callers.ts";
import {
  type Behaviour,
  createForwardFixture,
} from "../testing/forward_fixture.ts";
import { waitUntil } from "../testing/held_upstream.ts";
import { answer, unframedHead } from "../testing/raw_responses.ts";
import { createUpstreamCall } from "../testing/upstream_calls.ts";
import { tryGetBodyFailure } from "./body_end.ts";
import { readResponseBody } from "./response_body.ts";
import { createHeldMemory } from "./held_memory.ts";
import { openCall, type UpstreamResponse } from "./upstream_call.ts";

const plain = { kind: "idempotent", isResumable: false } as const;
const once = { kind: "at-most-once", isResumable: false } as const;
const stream = { kind: "stream", isResumable: false } as const;

/** Half of a body, which can be taken for a complete event. */
const HALF = "id: 1\ndata: half\n\n";

/** Time from the last byte to the reset of its connection, in ms. */
const RESET_AFTER_MS = 5;

/** Length of the body of a late reader, in bytes. */
const LATE_BODY_BYTES = 800;

/** Time-out of a late reader, and the time that it may take, in ms. */
const BODY_TIMEOUT_MS = 5_000;
const SETTLE_WITHIN_MS = 1_000;

/** Time for which an upstream leaves its side open after its end, in ms. */
const HALF_OPEN_MS = 200;

/** Longest time that a complete body without a length may take, in ms. */
const ENDED_WITHIN_MS = 150;

/** Longest time that a response without a body may take, in ms. */
const BODILESS_WITHIN_MS = 500;

/** Time after which the host has surely read the end of a body, in ms. */
const LATE_RESET_MS = 20;

/** Time from the close of a connection until a paused reader goes on, in ms. */
const READER_PAUSE_MS = 20;

/** The head of the response to one call, whose body the test reads. */
interface OpenedCall extends AsyncDisposable {
  readonly response: UpstreamResponse;
}

async function openCallTo(onRequest: RequestListener): Promise<OpenedCall> {
  const upstream = await listen("127.0.0.1:0", onRequest);
  const { port } = upstream.server.address() as AddressInfo;
  const agent = new Agent({ keepAlive: true });
  const response = await Effect.runPromise(openCall(
    createUpstreamCall({ agent, address: `127.0.0.1:${port}` }),
  ));
  return {
    response,
    async [Symbol.asyncDispose]() {
      agent.destroy();
      await upstream[Symbol.asyncDispose]();
    },
  };
}

/**
 * Reads the first bytes, calls `onPaused`, and reads the rest some time after
 * the connection has been closed. Returns the number of bytes read.
 */
async function readWithPause(
  { res }: UpstreamResponse,
  onPaused: () => void,
): Promise<number> {
  const { socket } = res;
  let size = 0;
  res.on("data", (bytes: Buffer) => size += bytes.length);
  res.once("data", () => {
    res.pause();
    onPaused();
  });
  const closed = new Promise((resolve) => res.on("close", resolve));
  await waitUntil(() => socket.destroyed, "close of the connection");
  await sleep(READER_PAUSE_MS);
  res.resume();
  await closed;
  return size;
}

test("a body that a paused reader has read in part is never complete after a reset", async () => {
  // Guards against a body that counts as complete because it was received.
  const pieces = Array.from({ length: 16 }, () => "x".repeat(100));
  let reset = () => {};
  await using call = await openCallTo((req, res) => {
    for (const piece of pieces) res.write(piece);
    res.end();
    reset = () => void req.socket.resetAndDestroy();
  });
  const size = await readWithPause(
    call.response,
    () => void setTimeout(reset, RESET_AFTER_MS),
  );
  const failure = tryGetBodyFailure(
    await Effect.runPromise(call.response.bodyEnd),
  );
  ok(
    failure !== undefined || size === pieces.join("").length,
    `Read ${size} bytes`,
  );
});

for (
  const [what, sentBytes] of [["all", LATE_BODY_BYTES], ["part", 100]] as const
) {
  test(`a reader that attaches after ${what} of a body and a reset gets the body or a failure at once`, async () => {
    // Guards against a caller that waits for a response that is over.
    let reset = () => {};
    await using call = await openCallTo((req, res) => {
      res.setHeader("content-length", LATE_BODY_BYTES);
      res.write("x".repeat(sentBytes));
      reset = () => void req.socket.resetAndDestroy();
    });
    const { socket } = call.response.res;
    reset();
    await waitUntil(() => socket.destroyed, "close of the connection");
    await sleep(RESET_AFTER_MS);
    const limits = {
      maxBytes: LATE_BODY_BYTES,
      timeoutMs: BODY_TIMEOUT_MS,
      memory: createHeldMemory(LATE_BODY_BYTES),
    };
    const startMs = performance.now();
    const size = await Effect.runPromise(
      readResponseBody(call.response, limits).pipe(
        Effect.map((chunks) => Buffer.concat([...chunks]).length),
        Effect.catchTag("AttemptFailed", () => Effect.succeed(LATE_BODY_BYTES)),
      ),
    );
    ok(performance.now() - startMs < SETTLE_WITHIN_MS, "Not settled in time");
    strictEqual(size, LATE_BODY_BYTES);
  });
}

/**
 * Sends part of a body and an orderly end, and resets the connection later. The
 * connection is not read, so that it stays open until then.
 */
function endAndReset(resetAfterMs: number): Behaviour {
  return (socket, { id }) => {
    socket.pause();
    socket.end(unframedHead(id) + HALF);
    setTimeout(() => socket.resetAndDestroy(), resetAfterMs);
  };
}

for (const resetAfterMs of [0, 5, 10, 20]) {
  test(`a body without a length whose orderly end is followed by a reset ${resetAfterMs} ms later is not passed on as complete`, async () => {
    // Guards against half a response with a Content-Length that fits the half.
    await using fixture = await createForwardFixture(
      [endAndReset(resetAfterMs)],
      once,
    );
    strictEqual((await fixture.call()).status, 502);
  });
}

test("a body with a transfer encoding other than chunks that a reset cuts is not passed on", async () => {
  // Guards against an encoding that is taken for a length.
  await using fixture = await createForwardFixture([(socket, { id }) => {
    const head = `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-seal: s\r\n` +
      "transfer-encoding: identity\r\n\r\n";
    socket.write(head + HALF, () => socket.resetAndDestroy());
  }], once);
  strictEqual((await fixture.call()).status, 502);
});

test("a read whose body without a length is followed by a reset is sent again", async () => {
  // Guards against half a response where another upstream has the whole.
  await using fixture = await createForwardFixture([
    endAndReset(LATE_RESET_MS),
    (socket, { id }) => socket.write(answer(id, "done")),
  ], plain);
  const res = await fixture.call();
  deepStrictEqual([res.status, res.body], [200, "done"]);
});

/** Asserts that the caller can tell that it received no whole response. */
function assertSeenAsCut({ status, isTruncated }: CallerResponse): void {
  ok(status === 502 || isTruncated, `Complete, with status ${status}`);
}

for (const resetAfterMs of [5, 20]) {
  test(`a stream without a length whose orderly end is followed by a reset ${resetAfterMs} ms later does not end as complete`, async () => {
    // Guards against half a stream that ends with the closing chunk.
    await using fixture = await createForwardFixture(
      [endAndReset(resetAfterMs)],
      stream,
    );
    assertSeenAsCut(await fixture.call());
  });
}

/**
 * Sends part of a body and dies: its kernel ends the connection in order, and
 * refuses further ones.
 */
const dies: Behaviour = (socket, { id, stopListening }) => {
  socket.write(unframedHead(id) + HALF);
  stopListening();
  socket.destroy();
};

test("a body without a length whose upstream is dead is not passed on as complete", async () => {
  // Guards against half a response of a process that was killed.
  await using fixture = await createForwardFixture([dies], once);
  strictEqual((await fixture.call()).status, 502);
});

test("a stream without a length whose upstream is dead does not end as complete", async () => {
  // Guards against half a stream of a process that was killed.
  await using fixture = await createForwardFixture([dies], stream);
  assertSeenAsCut(await fixture.call());
});

test("a body without a length whose upstream closes its connection at once is complete", async () => {
  // Guards against an orderly close that is taken for a truncated body.
  await using fixture = await createForwardFixture([(socket, { id }) => {
    socket.write(`${unframedHead(id)}all of it`);
    socket.destroy();
  }], once);
  const res = await fixture.call();
  deepStrictEqual([res.status, res.body], [200, "all of it"]);
});

test("a body without a length whose upstream leaves its side open is passed on soon", async () => {
  // Guards against a response that waits for its upstream's last close.
  await using fixture = await createForwardFixture([(socket, { id }) => {
    socket.pause();
    socket.end(`${unframedHead(id)}all of it`);
    setTimeout(() => socket.destroy(), HALF_OPEN_MS);
  }], once);
  const startMs = performance.now();
  const res = await fixture.call();
  deepStrictEqual([res.status, res.body], [200, "all of it"]);
  ok(performance.now() - startMs < ENDED_WITHIN_MS, "Passed on late");
});

const bodiless = [
  { method: "HEAD", status: "200 OK" },
  { method: "POST", status: "204 No Content" },
  { method: "POST", status: "304 Not Modified" },
] as const;

for (const { method, status } of bodiless) {
  test(`a response to ${method} with status ${status} and no length is passed on at once`, async () => {
    // Guards against waiting for the close of a connection that is kept alive.
    await using fixture = await createForwardFixture([(socket, { id }) => {
      socket.write(
        `HTTP/1.1 ${status}\r\nx-id: ${id}\r\nx-seal: s\r\n\r\n`,
      );
    }], once);
    const startMs = performance.now();
    const res = await fixture.call({ method, body: "" });
    const tookMs = performance.now() - startMs;
    deepStrictEqual([res.status, res.isTruncated], [parseInt(status), false]);
    ok(tookMs < BODILESS_WITHIN_MS, "Passed on late");
  });
}
