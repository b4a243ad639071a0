import { deepStrictEqual, strictEqual } from "node:assert";
import type { AddressInfo, Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import * as Effect from "effect/Effect";
import { listen, type ListeningServer } from "../entry/servers.ts";
import { followStream } from "../streams/follow_stream.ts";
import { blockEventLoop } from "../testing/block_event_loop.ts";
import { chunk } from "../testing/raw_responses.ts";
import {
  connectionEnds,
  cutResponses,
  JSON_HEAD,
  listenRaw,
  SWITCHING_RESPONSE,
} from "../testing/raw_server.ts";
import {
  createHttpUpstreams,
  STREAM_IDLE_TIMEOUT_MS,
} from "./http_upstreams.ts";
import { type PlainResponse, UpstreamError } from "./types.ts";

const LOOPBACK = "127.0.0.1:0";

/** Returns the IP address and port on which the server listens. */
function getAddress({ server }: ListeningServer): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

test("a call whose response arrived while the event loop was blocked is not silent", async () => {
  // Guards against reporting completed work to its caller as lost.
  await using upstream = await listen(LOOPBACK, (_req, res) => {
    res.end("done");
    res.on("finish", () => blockEventLoop(500));
  });
  const answer = await Effect.runPromise(
    createHttpUpstreams().call({
      address: getAddress(upstream),
      operation: "book",
      request: "request-1",
      idempotencyKey: "key-1",
      body: "{}",
      timeoutMs: 300,
    }),
  );
  deepStrictEqual(answer, { status: 200, body: "done" });
});

test("a stream whose event arrived while the event loop was blocked is not lost", async () => {
  // Guards against streams that are closed because the host's own event loop
  // was blocked.
  await using upstream = await listen(LOOPBACK, (_req, res) => {
    res.write("id: 1\ndata: a\n\n");
    // Timers that fall due in the meantime run next, as after any blocked turn.
    const sendNext = () => {
      res.write("id: 2\ndata: b\n\n");
      blockEventLoop(STREAM_IDLE_TIMEOUT_MS + 200);
    };
    setTimeout(() => setImmediate(sendNext), 50);
  });
  const stream = await Effect.runPromise(
    createHttpUpstreams().generate({
      address: getAddress(upstream),
      stream: "stream-1",
      body: "{}",
      remainingMs: 10_000,
    }),
  );
  const events = [
    await Effect.runPromise(stream.next),
    await Effect.runPromise(stream.next),
  ];
  deepStrictEqual(events.map((each) => each?.data), ["a", "b"]);
  stream.close();
});

/** Time-out of calls that are expected to fail, in ms. */
const CALL_TIMEOUT_MS = 300;

/** How late a time-out may be noticed on a busy machine, in ms. */
const MAX_LATENESS_MS = 10_000;

/** Calls an upstream that answers as `respond` does; returns how that ended. */
async function callRaw(
  respond: (socket: Socket) => void,
): Promise<PlainResponse | UpstreamError["failure"]> {
  await using upstream = await listenRaw(respond);
  const call = createHttpUpstreams().call({
    address: upstream.address,
    operation: "book",
    request: "request-1",
    idempotencyKey: "key-1",
    body: "{}",
    timeoutMs: CALL_TIMEOUT_MS,
  }).pipe(
    Effect.catchTag("UpstreamError", (err) => Effect.succeed(err.failure)),
  );
  return await Effect.runPromise(call);
}

test("a call whose time-out expires within its body is silent, and its part is no answer", async () => {
  const part = '{"booked":[';
  for (const response of cutResponses(`${part}1]}`, part)) {
    const result = await callRaw((socket) => socket.write(response));
    strictEqual(result, "silent", response);
  }
});

test("a cancellation whose reply stops midway is silent and doesn't wait for ever", async () => {
  await using upstream = await listenRaw((socket) =>
    socket.write(`${JSON_HEAD}content-length: 20\r\n\r\n{"tok`)
  );
  const cancelled = createHttpUpstreams().cancelIfUnread({
    address: upstream.address,
    stream: "stream-1",
  }).pipe(
    Effect.flip,
    Effect.timeout(STREAM_IDLE_TIMEOUT_MS + MAX_LATENESS_MS),
  );
  const err = await Effect.runPromise(cancelled);
  strictEqual(err instanceof UpstreamError && err.failure, "silent");
});

test("a body without a length that is cut is no answer, whether by a reset or in order", async () => {
  const whole = '{"booked":[1,2]}';
  const parts = ["", whole.slice(0, -1), " ", "12"];
  for (const end of connectionEnds) {
    for (const part of parts) {
      const result = await callRaw((socket) =>
        socket.write(`${JSON_HEAD}\r\n${part}`, () => end(socket))
      );
      strictEqual(result, "broken", part);
    }
  }
});

test("a part with a transfer encoding other than chunks is no answer", async () => {
  const part = '{"booked":[';
  for (const encoding of ["identity", "gzip", "x-chunked"]) {
    const head = `${JSON_HEAD}transfer-encoding: ${encoding}\r\n\r\n`;
    for (const end of connectionEnds) {
      const result = await callRaw((socket) =>
        socket.write(head + part, () => end(socket))
      );
      strictEqual(result, "broken", encoding);
    }
  }
});

test("a whole body without a length is the answer, and so is a status without a body", async () => {
  const whole = '{"booked":[1,2]}\n';
  const answered = await callRaw((socket) =>
    socket.end(`${JSON_HEAD}\r\n${whole}`)
  );
  deepStrictEqual(answered, { status: 200, body: whole });
  const empty = await callRaw((socket) =>
    socket.end("HTTP/1.1 204 No Content\r\n\r\n")
  );
  deepStrictEqual(empty, { status: 204, body: "" });
});

/** The response to a reader of the stream from the offset to its end. */
function createStreamEnd(offset: number): string {
  const events: string[] = [];
  for (let id = offset; id < STREAM_TOKENS; id++) {
    events.push(`id: ${id}\nevent: token\ndata: ${TOKEN}\n\n`);
  }
  events.push(`event: end\nid: ${STREAM_TOKENS}\ndata: {}\n\n`);
  return events.map(chunk).join("") + chunk("");
}

/** More than the buffers hold of a stream that its reader doesn't read. */
const STREAM_TOKENS = 200;
const TOKEN = "x".repeat(2_000);

test("a stream whose connection is reset behind its end reaches a slow reader whole", async () => {
  const head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
  let connections = 0;
  await using upstream = await listenRaw((socket, request) => {
    connections++;
    const offset = Number(/offset=(\d+)/.exec(request)?.[1] ?? 0);
    socket.write(head + createStreamEnd(offset), () => {
      if (connections === 1) socket.resetAndDestroy();
    });
  });
  const place = { address: upstream.address, stream: "stream-1" };
  const client = createHttpUpstreams();
  const delivered: number[] = [];
  const followed = client.generate({
    ...place,
    body: "{}",
    remainingMs: 10_000,
  }).pipe(
    Effect.flatMap((stream) =>
      followStream(stream, { nextOffset: 0, cost: 0 }, {
        resume: (offset) => client.resume(place, offset),
        deliver: ({ offset }) => Effect.promise(() => read(offset)),
        onResumed: () => {},
      })
    ),
  );
  async function read(offset: number): Promise<void> {
    if (offset === 0) await sleep(20);
    delivered.push(offset);
  }
  await Effect.runPromise(followed);
  deepStrictEqual(delivered, [...Array(STREAM_TOKENS).keys()]);
});

test("a response that switches protocols ends a call and a stream at once", async () => {
  // Guards against a request that waits for its time-out though nothing can come.
  await using upstream = await listenRaw((socket) =>
    void socket.write(SWITCHING_RESPONSE)
  );
  const { address } = upstream;
  const upstreams = createHttpUpstreams();
  const call = upstreams.call({
    address,
    operation: "book",
    request: "request-1",
    idempotencyKey: "key-1",
    body: "{}",
    timeoutMs: 1_000,
  });
  const stream = upstreams.resume({ address, stream: "stream-1" }, 0);
  for (const each of [call, stream]) {
    const err = await Effect.runPromise(
      Effect.flip(each as Effect.Effect<unknown, UpstreamError>),
    );
    strictEqual(
      err.reason,
      "Status 101 switches protocols, which was not asked for",
    );
  }
});
