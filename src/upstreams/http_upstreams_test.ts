import { deepStrictEqual } from "node:assert";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { listen, type ListeningServer } from "../entry/servers.ts";
import { blockEventLoop } from "../testing/block_event_loop.ts";
import {
  createHttpUpstreams,
  STREAM_IDLE_TIMEOUT_MS,
} from "./http_upstreams.ts";

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
