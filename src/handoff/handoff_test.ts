import { deepStrictEqual, match, ok, strictEqual } from "node:assert";
import { Buffer } from "node:buffer";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { createServer, type Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { endAfterRequest } from "../requests/early_response.ts";
import {
  createGet,
  drawPeerAddress,
  openCaller,
  startHandoffHost,
  startPair,
  until,
} from "../testing/handoff_hosts.ts";
import { getHandoffAddress } from "./protocol.ts";

const BODY = "x".repeat(1_000_000);

test("a request that is handed off is answered whole by the target, and closes its connection", async () => {
  await using pair = await startPair((res) => void res.end(BODY));
  const { origin, target } = pair;
  const { text, isReset } = await openCaller(
    origin.callerAddress,
    createGet("/a"),
  )
    .read;
  strictEqual(isReset, false);
  ok(text.endsWith(`\r\n\r\n${BODY}`));
  match(text, /\r\nconnection: close\r\n/i);
  deepStrictEqual([origin.served, target.served], [[], ["/a"]]);
  await until(() => origin.handoff.countOpen() === 0);
  origin.pass();
  target.pass();
  const [sent] = origin.decisions;
  ok(sent?.event === "connections-handed-off");
  deepStrictEqual([sent.taken, sent.targets], [1, [target.peerAddress]]);
  const [received] = target.decisions;
  ok(received?.event === "connections-received");
  deepStrictEqual([received.taken, received.origins], [1, [
    origin.peerAddress,
  ]]);
});

test("a response that is reset at the target is reset at the caller, not ended", async () => {
  // Guards against a cut response that looks complete to a caller of HTTP/1.0.
  // The reset arrives at the origin together with the bytes, or after them.
  for (const waitMs of [0, 30]) {
    await using pair = await startPair((res) => {
      res.write("a part", () => {
        if (waitMs === 0) res.socket!.resetAndDestroy();
        else setTimeout(() => res.socket!.resetAndDestroy(), waitMs);
      });
    });
    const request = "GET / HTTP/1.0\r\n\r\n";
    const { isReset } = await openCaller(pair.origin.callerAddress, request)
      .read;
    strictEqual(isReset, true, `${waitMs}`);
  }
});

test("a caller that disconnects is seen by the target at once, whichever way it does", async () => {
  // Guards against upstreams that work for nobody.
  const responses: ServerResponse[] = [];
  await using pair = await startPair((res) => void responses.push(res));
  const { origin } = pair;
  for (const how of ["destroy", "resetAndDestroy"] as const) {
    const caller = openCaller(origin.callerAddress, createGet("/"));
    await until(() => responses.length === 1);
    const closed = once(responses.pop()!, "close");
    strictEqual(origin.handoff.countInFlight(), 1);
    caller.socket[how]();
    await closed;
    await until(() => origin.handoff.countInFlight() === 0);
  }
});

test("a target that does not answer is given up, and the request runs once, at the origin", async () => {
  // Guards against a frozen target that costs callers their requests.
  const frozen = drawPeerAddress();
  const received: string[] = [];
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on("data", (bytes) => received.push(bytes.toString()));
  });
  const [ip, port] = getHandoffAddress(frozen).split(":");
  server.listen(Number(port), ip);
  await once(server, "listening");
  await using origin = await startHandoffHost(
    (_, res) => void res.end("here"),
    [frozen],
  );
  const caller = openCaller(origin.callerAddress, createGet("/once"));
  await until(() => origin.served.length === 1);
  caller.socket.end();
  ok((await caller.read).text.endsWith("here"));
  deepStrictEqual(origin.served, ["/once"]);
  deepStrictEqual(received, [`AZH3 ${origin.peerAddress} 1 1 100\n`]);
  origin.pass();
  const [sent] = origin.decisions;
  ok(sent?.event === "connections-handed-off");
  deepStrictEqual([sent.taken, sent.unreachable, sent.open], [0, 1, 0]);
  for (const socket of sockets) socket.destroy();
  server.close();
});

test("a request that one target refuses and no other can take is served at the origin", async () => {
  const targets = [drawPeerAddress()];
  await using target = await startHandoffHost((_, res) => void res.end());
  target.state.isDraining = true;
  targets.push(target.peerAddress);
  await using origin = await startHandoffHost(
    (_, res) => void res.end("here"),
    targets,
  );
  const caller = openCaller(origin.callerAddress, createGet("/"));
  await once(caller.socket, "data");
  deepStrictEqual(origin.served, ["/"]);
  origin.pass();
  const [sent] = origin.decisions;
  ok(sent?.event === "connections-handed-off");
  deepStrictEqual([sent.refused, sent.unreachable], [1, 1]);
  caller.socket.destroy();
});

test("a response of a target that ends meanwhile stays incomplete", async () => {
  await using pair = await startPair((res) => void res.write("a part"));
  const caller = openCaller(pair.origin.callerAddress, createGet("/"));
  await once(caller.socket, "data");
  await pair.target[Symbol.asyncDispose]();
  const { text } = await caller.read;
  ok(text.endsWith("6\r\na part\r\n"), text);
});

test("an origin that drains completes its relays and begins none", async () => {
  const responses: ServerResponse[] = [];
  await using pair = await startPair((res) => void responses.push(res));
  const { origin, target } = pair;
  const before = openCaller(origin.callerAddress, createGet("/before"));
  await until(() => responses.length === 1);
  origin.state.isDraining = true;
  const after = openCaller(origin.callerAddress, createGet("/after"));
  await once(after.socket, "data");
  after.socket.destroy();
  strictEqual(origin.handoff.countInFlight(), 1);
  responses[0]!.end("there");
  ok((await before.read).text.endsWith("there"));
  deepStrictEqual([origin.served, target.served], [["/after"], ["/before"]]);
  await until(() => origin.handoff.countInFlight() === 0);
});

test("an origin that ends resets the caller of a relay", async () => {
  // Guards against a cut response without a length that looks complete.
  await using pair = await startPair((res) => void res.write("a part"));
  const request = "GET / HTTP/1.0\r\n\r\n";
  const caller = openCaller(pair.origin.callerAddress, request);
  await once(caller.socket, "data");
  await pair.origin.handoff[Symbol.asyncDispose]();
  strictEqual((await caller.read).isReset, true);
  const cut = pair.origin.decisions.find((each) => each.event === "relay-cut");
  ok(cut?.event === "relay-cut");
  deepStrictEqual([cut.cause, cut.target, cut.relay], [
    "exit",
    pair.target.peerAddress,
    `${pair.origin.peerAddress}#1`,
  ]);
});

test("a taken connection without a request is in flight at the target", async () => {
  await using pair = await startPair((res) => void res.end());
  const caller = openCaller(
    pair.origin.callerAddress,
    "GET /slow HTTP/1.1\r\n",
  );
  await until(() => pair.target.handoff.countInFlight() === 1);
  caller.socket.write("Host: desk.example\r\n\r\n");
  await caller.read;
  deepStrictEqual(pair.target.served, ["/slow"]);
  await until(() => pair.target.handoff.countInFlight() === 0);
});

test("a handed-off connection without a byte holds the drain of neither host", async () => {
  // Guards against a drain that waits up to 35 s for the header time-out.
  await using pair = await startPair((res) => void res.end());
  const { origin, target } = pair;
  const silent = openCaller(origin.callerAddress, "");
  await until(() => target.handoff.countInFlight() === 1);
  await until(() => origin.handoff.countInFlight() === 0);
  strictEqual(origin.handoff.countOpen(), 1);
  target.pass();
  strictEqual(target.handoff.countInFlight(), 0);
  silent.socket.write("GET /slow HTTP/1.1\r\n");
  await until(() => origin.handoff.countInFlight() === 1);
  silent.socket.destroy();
  await until(() => origin.handoff.countInFlight() === 0);
});

test("a slow caller holds back the target", async () => {
  // Guards against responses that pile up in the memory of the origin.
  const chunk = new Uint8Array(1_000_000);
  const maxChunks = 200;
  let written = 0;
  let isHeldBack = false;
  await using pair = await startPair((res) => {
    function write(): void {
      isHeldBack = false;
      while (written < maxChunks && res.write(chunk)) written++;
      isHeldBack = true;
    }
    res.on("drain", write);
    write();
  });
  const caller = openCaller(pair.origin.callerAddress, createGet("/"));
  await once(caller.socket, "data");
  caller.socket.pause();
  let seen = -1;
  while (seen < written || !isHeldBack) {
    seen = written;
    await sleep(100);
  }
  ok(written < maxChunks / 2, `${written} MB`);
  caller.socket.destroy();
});

/** Refuses, as the host does, before the body of the request was read. */
function refuse(res: ServerResponse): void {
  res.writeHead(503, { "content-length": 7 });
  endAfterRequest(res, "refused");
}

const UPLOAD_HEAD =
  `POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: ${BODY.length}\r\n\r\n`;

/** Sends a body of 1 MB behind its early response, and a request behind that. */
async function uploadBehindResponse(address: string) {
  const caller = openCaller(address, UPLOAD_HEAD);
  await once(caller.socket, "data");
  caller.socket.write(BODY);
  caller.socket.write(createGet("/2"));
  return caller.read;
}

test("a response before the body has arrived closes a handed-off connection, and is not lost", async () => {
  // Guards against a kept connection that goes on through another host, and
  // against a close while the body arrives, which resets the connection.
  await using pair = await startPair(refuse);
  const { text, isReset } = await uploadBehindResponse(
    pair.origin.callerAddress,
  );
  match(
    text,
    /^HTTP\/1.1 503 (.*\r\n)*connection: close\r\n(.*\r\n)*refused$/i,
  );
  strictEqual(isReset, false);
  deepStrictEqual([pair.origin.served, pair.target.served], [[], ["/1"]]);
  await until(() => pair.origin.handoff.countOpen() === 0);
});

test("a caller that sends all before it reads gets the response that came first", async () => {
  // Guards against a reset that drops the response from the caller's kernel.
  await using pair = await startPair(refuse);
  for (let call = 0; call < 8; call++) {
    const caller = openCaller(pair.origin.callerAddress, UPLOAD_HEAD);
    caller.socket.pause();
    for (let at = 0; at < BODY.length; at += 50_000) {
      caller.socket.write(BODY.slice(at, at + 50_000));
      await sleep(1);
    }
    caller.socket.resume();
    const { text, isReset } = await caller.read;
    match(text, /refused$/);
    strictEqual(isReset, false);
  }
});

test("responses of an overloaded host close the connections of its own callers", async () => {
  // Guards against requests on connections that are kept open, which use up the
  // processor time for handing connections off.
  await using host = await startHandoffHost((_, res) => void res.end("here"));
  const kept = openCaller(host.callerAddress, createGet("/1"));
  await once(kept.socket, "data");
  host.state.isBusy = true;
  host.pass();
  kept.socket.write(createGet("/2") + createGet("/behind"));
  match(
    (await kept.read).text,
    /\r\nConnection: keep-alive\r\n(.*\r\n)*\r\nhere(.*\r\n)*connection: close\r\n/,
  );
  deepStrictEqual(host.served, ["/1", "/2"]);
  host.state.isDraining = true;
  const other = openCaller(host.callerAddress, createGet("/3"));
  const [bytes] = await once(other.socket, "data");
  match(String(bytes), /\r\nConnection: keep-alive\r\n/);
  other.socket.destroy();
});

test("an overloaded host that refuses before the body is read leaves the connection open", async () => {
  // Guards against a reset that costs the caller the refusal.
  await using host = await startHandoffHost((_, res) => {
    res.writeHead(503, { "content-length": 0 }).end();
  });
  host.state.isBusy = true;
  host.pass();
  const caller = openCaller(
    host.callerAddress,
    `POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: ${BODY.length}\r\n\r\n`,
  );
  const [bytes] = await once(caller.socket, "data");
  match(String(bytes), /^HTTP\/1.1 503 (.*\r\n)*Connection: keep-alive\r\n/);
  caller.socket.write(BODY + createGet("/2"));
  strictEqual((await caller.read).isReset, false);
  deepStrictEqual(host.served, ["/1", "/2"]);
});

test("a caller that left while its connection waited is not served by the target", async () => {
  // Guards against upstreams that work for nobody: the target reads the request
  // before the end that follows it.
  await using pair = await startPair((res) => void res.end());
  const { origin, target } = pair;
  for (let call = 0; call < 4; call++) {
    const { socket } = openCaller(origin.callerAddress, "");
    socket.write(createGet("/left"), () => socket.destroy());
  }
  await until(() => {
    origin.pass();
    return origin.decisions.length > 0;
  });
  await until(() => origin.handoff.countOpen() === 0);
  deepStrictEqual([origin.served, target.served], [[], []]);
});

test("a connection that may have waited longer than callers do is closed, not handed off", async () => {
  // Guards against requests of callers that have left: the target can't see how
  // long the connection waited at the origin.
  await using pair = await startPair((res) => void res.end());
  const { origin, target } = pair;
  origin.state.unreadMs = 1_000;
  const late = openCaller(origin.callerAddress, createGet("/late"));
  deepStrictEqual((await late.read).text, "");
  strictEqual(origin.handoff.countOpen(), 0);
  origin.state.unreadMs = 999;
  await openCaller(origin.callerAddress, createGet("/")).read;
  deepStrictEqual([origin.served, target.served], [[], ["/"]]);
});

test("a relay ends after its caller has left, although its target is frozen", async () => {
  // Guards against relays that use up the limit of handoffs and hold the drain.
  const peer = drawPeerAddress();
  const [ip, port] = getHandoffAddress(peer).split(":");
  const taken: Socket[] = [];
  const frozen = createServer({ allowHalfOpen: true }, (socket) => {
    taken.push(socket);
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write(Buffer.of(1));
      socket.pause();
    });
  });
  frozen.listen(Number(port), ip);
  await once(frozen, "listening");
  const origin = await startHandoffHost((_, res) => void res.end(), [peer]);
  const caller = openCaller(origin.callerAddress, createGet("/a"));
  await until(() => taken.length === 1);
  await sleep(100);
  caller.socket.destroy();
  await sleep(3_000);
  const open = origin.handoff.countOpen();
  for (const each of taken) each.destroy();
  frozen.close();
  await origin[Symbol.asyncDispose]();
  strictEqual(open, 0);
});

test("a pipelined request behind the last response does not run", async () => {
  // Guards against a run whose response can't be sent.
  await using pair = await startPair((res) =>
    void setImmediate(() => res.end())
  );
  const both = createGet("/first") + createGet("/second");
  await openCaller(pair.origin.callerAddress, both).read;
  deepStrictEqual(pair.target.served, ["/first"]);
});
