import { ok, strictEqual } from "node:assert";
import { Buffer } from "node:buffer";
import type { RequestListener, ServerResponse } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { test } from "node:test";
import { systemClock } from "../core/mod.ts";
import { listen } from "../entry/servers.ts";
import { createTestCodec } from "../testing/call_codec.ts";
import type { ForwardHost } from "./call.ts";
import { Rejected } from "./rejections.ts";
import { endRejected } from "./request_end.ts";

/** What a caller gets, up to the end of its connection. */
interface Received {
  readonly text: string;
  readonly end: "in-order" | "reset";
}

/** Sends the text as a caller; returns what comes. */
async function receive(
  onRequest: RequestListener,
  text: string,
): Promise<Received> {
  await using host = await listen("127.0.0.1:0", onRequest);
  const { port } = host.server.address() as AddressInfo;
  return await new Promise((resolve) => {
    const caller = connect(port, "127.0.0.1");
    let received = "";
    let end: Received["end"] = "in-order";
    caller.on("data", (bytes) => received += bytes.toString());
    caller.on("error", () => end = "reset");
    caller.on("close", () => resolve({ text: received, end }));
    caller.write(text);
  });
}

/** Ends the response with a failure, as after a failure of its upstream. */
function breakOff(
  res: ServerResponse,
  reason = "The upstream broke off",
): void {
  const host: Partial<ForwardHost> = {
    clock: systemClock,
    codec: createTestCodec(),
    getInputs: () => ({
      configVersion: 1,
      upstreamsVersion: 1,
      confirmedMsAgo: 0,
    }),
    log: () => {},
    onRequestEnded: () => {},
  };
  const state = {
    headers: undefined,
    route: undefined,
    team: undefined,
    call: undefined,
    body: undefined,
    arrivedMs: 0,
    relay: undefined,
    isHostOverloaded: false,
  };
  const rejected = new Rejected({ status: 502, reason });
  endRejected(host as ForwardHost, state, res, rejected);
}

test("a response that breaks off while it waits behind another one closes the connection after that one", async () => {
  const responses: ServerResponse[] = [];
  const request = "GET / HTTP/1.1\r\nhost: model.example\r\n\r\n";
  const { text } = await receive((_req, res) => {
    responses.push(res);
    const [first, second] = responses;
    if (second === undefined) return;
    second.writeHead(200);
    second.write("a part");
    breakOff(second);
    first!.end("the first");
  }, request.repeat(2));
  ok(text.endsWith("the first"));
});

test("a response that breaks off doesn't look complete to a caller of HTTP/1.0", async () => {
  // Only the end of the connection ends the body that such a caller gets.
  const { text, end } = await receive((_req, res) => {
    res.writeHead(200);
    res.write("a part");
    setTimeout(() => breakOff(res), 20);
  }, "GET / HTTP/1.0\r\n\r\n");
  ok(text.endsWith("\r\n\r\na part"));
  strictEqual(end, "reset");
});

test("a rejection whose reason isn't ASCII arrives whole", async () => {
  // Guards against a length in characters, which cuts the body.
  const reason = "Grün: 日本";
  const { text } = await receive(
    (_req, res) => breakOff(res, reason),
    "GET / HTTP/1.0\r\n\r\n",
  );
  const [head = "", body = ""] = text.split("\r\n\r\n");
  strictEqual(body, JSON.stringify({ error: reason }));
  ok(head.includes(`content-length: ${Buffer.byteLength(body)}`), head);
});
