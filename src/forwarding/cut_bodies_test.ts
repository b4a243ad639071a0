import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { Buffer } from "node:buffer";
import { Agent, type RequestListener } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import * as Effect from "effect/Effect";
import { listen } from "../entry/servers.ts";
import {
  type Behaviour,
  createForwardFixture,
} from "../testing/forward_fixture.ts";
import { waitUntil } from "../testing/held_upstream.ts";
import { answer, chunk, streamHead } from "../testing/raw_responses.ts";
import { openCall, type UpstreamResponse } from "./upstream_call.ts";

const plain = { kind: "idempotent", isResumable: false } as const;
const once = { kind: "at-most-once", isResumable: false } as const;

/** Time from the last byte to the reset of its connection, in ms. */
const RESET_AFTER_MS = 5;

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
  const response = await Effect.runPromise(openCall({
    agent,
    address: `127.0.0.1:${port}`,
    method: "POST",
    target: "/",
    headers: ["Host", "model.example"],
    body: Buffer.from("{}"),
    headTimeoutMs: 1_000,
    mayStillSend: () => true,
    onSent: () => {},
  }));
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
  const isComplete = await Effect.runPromise(call.response.isComplete);
  ok(!isComplete || size === pieces.join("").length, `Read ${size} bytes`);
});

/** A whole response to the request with the id. */
type WholeResponse = (id: string, body: string) => string;

const wholeResponses: Readonly<Record<string, WholeResponse>> = {
  "a length": answer,
  "chunks": (id, body) => streamHead(id) + chunk(body) + "0\r\n\r\n",
};

/** What an upstream sends behind a whole response. */
const furtherBytes: Readonly<Record<string, string>> = {
  "bytes that are no response": "\0\0\0\0",
  "text that is no response": "the same once more\r\n\r\n",
  "another response": answer("another", "not yours"),
};

for (const [framing, respond] of Object.entries(wholeResponses)) {
  for (const [what, further] of Object.entries(furtherBytes)) {
    test(`a body with ${framing} that ${what} follow at once reaches the caller whole`, async () => {
      // Guards against an empty body with a Content-Length of 0.
      const body = "x".repeat(800);
      await using fixture = await createForwardFixture(
        [(socket, { id }) => socket.write(respond(id, body) + further)],
        once,
      );
      const res = await fixture.call();
      deepStrictEqual([res.status, res.body], [200, body]);
    });
  }
}

test("a stream that further bytes follow at once reaches the caller whole", async () => {
  // Guards against a stream that ends as complete without any piece.
  const piece = "id: 1\ndata: a\n\n";
  await using fixture = await createForwardFixture([
    (socket, { id }) =>
      socket.write(streamHead(id) + chunk(piece) + "0\r\n\r\n" + "more"),
  ], {
    kind: "stream",
    isResumable: false,
  });
  const res = await fixture.call();
  deepStrictEqual([res.status, res.body, res.isTruncated], [200, piece, false]);
});

/** The head of a response whose body ends with its connection. */
function unframedHead(id: string): string {
  return `HTTP/1.1 200 OK\r\nx-id: ${id}\r\nx-seal: s\r\n\r\n`;
}

/**
 * Sends part of a body and an orderly end, and resets the connection later. The
 * connection is not read, so that it stays open until then.
 */
function endAndReset(resetAfterMs: number): Behaviour {
  return (socket, { id }) => {
    socket.pause();
    socket.end(`${unframedHead(id)}half of`);
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

test("a read whose body without a length is followed by a reset is sent again", async () => {
  // Guards against half a response where another upstream has the whole.
  await using fixture = await createForwardFixture([
    endAndReset(LATE_RESET_MS),
    (socket, { id }) => socket.write(answer(id, "done")),
  ], plain);
  const res = await fixture.call();
  deepStrictEqual([res.status, res.body], [200, "done"]);
});
