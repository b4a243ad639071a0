import { deepStrictEqual } from "node:assert";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { listen, type ListeningServer } from "../entry/servers.ts";
import { block } from "../testing/block.ts";
import { createHttpUpstreams, STREAM_SILENCE_MS } from "./http_upstreams.ts";

const LOOPBACK = "127.0.0.1:0";

/** Where the server listens, IP and port. */
function getAddress({ server }: ListeningServer): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

test("a call that was answered in a long turn of this host is not silent", async () => {
  // Guards against work that has ended and is told to its caller as lost.
  await using upstream = await listen(LOOPBACK, (_req, res) => {
    res.end("done");
    res.on("finish", () => block(500));
  });
  const answer = await Effect.runPromise(
    createHttpUpstreams().call({
      address: getAddress(upstream),
      operation: "book",
      request: "request-1",
      idempotencyKey: "key-1",
      body: "{}",
      limitMs: 300,
    }),
  );
  deepStrictEqual(answer, { status: 200, body: "done" });
});

test("a stream whose event came in a long turn of this host is not lost", async () => {
  // Guards against streams that are broken off for the host's own pause.
  await using upstream = await listen(LOOPBACK, (_req, res) => {
    res.write("id: 1\ndata: a\n\n");
    // Timers that fall due meanwhile run next, as after any long turn.
    const sendNext = () => {
      res.write("id: 2\ndata: b\n\n");
      block(STREAM_SILENCE_MS + 200);
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
