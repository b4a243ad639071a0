import { deepStrictEqual, strictEqual } from "node:assert";
import { type AddressInfo, createServer } from "node:net";
import { test } from "node:test";
import type { Buffer } from "node:buffer";
import { Agent } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import * as Effect from "effect/Effect";
import { listen } from "../entry/servers.ts";
import { createUpstreamCall } from "../testing/upstream_calls.ts";
import { openCall } from "./upstream_call.ts";

test("nothing is sent to an upstream that no longer accepts requests once it is connected", async () => {
  // Guards against a request that reaches a leaving upstream because connecting
  // took long.
  let arrivals = 0;
  let sent = 0;
  await using upstream = await listen("127.0.0.1:0", (_req, res) => {
    arrivals++;
    res.end();
  });
  const { port } = upstream.server.address() as AddressInfo;
  const agent = new Agent({ keepAlive: true });
  const open = (mayStillSend: boolean) =>
    openCall(createUpstreamCall({ agent, address: `127.0.0.1:${port}` }, {
      mayStillSend: () => mayStillSend,
      onSent: () => sent++,
    }));
  const getFailure = async () => {
    const failed = await Effect.runPromise(Effect.flip(open(false)));
    return failed.kind;
  };
  // First over a new connection, then over one that is kept alive after a
  // response.
  const kinds = [await getFailure()];
  const { res } = await Effect.runPromise(open(true));
  await new Promise((resolve) => res.resume().on("end", resolve));
  await sleep(0);
  kinds.push(await getFailure());
  deepStrictEqual(kinds, ["unwanted", "unwanted"]);
  await sleep(20);
  strictEqual(arrivals, 1);
  strictEqual(sent, 1);
  agent.destroy();
});

test("nothing is sent where a response comes while the proof is awaited", async () => {
  // Guards against a request that is sent after another upstream got it as well.
  const received: Buffer[] = [];
  let sent = 0;
  const upstream = createServer((socket) => {
    socket.unref().on("error", () => {});
    socket.on("data", (bytes) => received.push(bytes));
    socket.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
  }).unref();
  await new Promise<void>((resolve) =>
    upstream.listen(0, "127.0.0.1", resolve)
  );
  const { port } = upstream.address() as AddressInfo;
  const target = { agent: new Agent(), address: `127.0.0.1:${port}` };
  const opened = openCall(createUpstreamCall(target, {
    prove: () => sleep(100, true),
    onSent: () => sent++,
  }));
  const kind = await Effect.runPromise(
    opened.pipe(
      Effect.as("answered"),
      Effect.catchTag("AttemptFailed", (err) => Effect.succeed(err.kind)),
    ),
  );
  await sleep(150);
  upstream.close();
  deepStrictEqual([kind, sent, received], ["unwanted", 0, []]);
});
