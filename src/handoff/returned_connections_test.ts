import { deepStrictEqual, match, ok, strictEqual } from "node:assert";
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { createServer, type Socket } from "node:net";
import { test } from "node:test";
import {
  setImmediate as endIteration,
  setTimeout as sleep,
} from "node:timers/promises";
import {
  createGet,
  drawPeerAddress,
  type HandoffCaller,
  type HandoffPair,
  openCaller,
  startHandoffHost,
  startPair,
  until,
} from "../testing/handoff_hosts.ts";
import { getHandoffAddress } from "./protocol.ts";

/** Listens for handoffs at the peer address, and takes all of them. */
async function startRawTarget(peerAddress: string) {
  const received: string[] = [];
  const sockets: Socket[] = [];
  const state = { isAnsweringStops: true };
  const server = createServer({ allowHalfOpen: true }, (socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    socket.on("data", (bytes) => {
      const text = bytes.toString();
      received.push(text);
      const isStop = text.startsWith("AZS2");
      const isAnswered = isStop && state.isAnsweringStops;
      if (isAnswered || text.startsWith("AZH3")) socket.write(Buffer.of(1));
    });
  });
  const [ip, port] = getHandoffAddress(peerAddress).split(":");
  server.listen(Number(port), ip);
  await once(server, "listening");
  return {
    received,
    state,
    async [Symbol.asyncDispose]() {
      for (const each of sockets) each.destroy();
      server.close();
      await once(server, "close");
    },
  };
}

/** Hands a connection off on which its caller sends nothing. */
async function openSilent(pair: HandoffPair) {
  const caller = openCaller(pair.origin.callerAddress, "");
  await until(() => pair.target.handoff.countInFlight() === 1);
  await until(() => pair.origin.handoff.countOpen() === 1);
  // The connection is relayed once the target's answer has come.
  await until(() => pair.origin.handoff.countInFlight() === 0);
  return caller;
}

/** Asserts that the next request of the caller is served by the origin. */
async function assertServedByOrigin(
  pair: HandoffPair,
  caller: HandoffCaller,
): Promise<void> {
  await until(() => pair.target.handoff.countInFlight() === 0);
  caller.socket.write(createGet("/late"));
  await once(caller.socket, "data");
  deepStrictEqual([pair.origin.served, pair.target.served], [["/late"], []]);
  caller.socket.destroy();
}

for (
  const [when, change] of [
    ["the origin stops", ({ origin }) => origin.handoff.leave(8_000)],
    [
      "the target's process ends",
      ({ target }) => target.handoff[Symbol.asyncDispose](),
    ],
    ["the target is no longer a neighbour", ({ origin }) => {
      origin.state.targets = [];
      origin.pass();
    }],
    ["the origin is calm", ({ origin }) => {
      origin.state.isBusy = false;
      origin.pass();
    }],
  ] satisfies [string, (pair: HandoffPair) => void][]
) {
  test(`a connection on which nothing was sent is served by its origin once ${when}`, async () => {
    // Guards against a late request that is lost with a host that needn't serve it.
    await using pair = await startPair((res) => void res.end("there"));
    const caller = await openSilent(pair);
    await change(pair);
    await assertServedByOrigin(pair, caller);
  });
}

test("a request that was read but not passed on is served by an origin that stops", async () => {
  await using pair = await startPair((res) => void res.end("there"));
  const { origin, target } = pair;
  const caller = await openSilent(pair);
  caller.socket.write(createGet("/read"));
  while (origin.handoff.countInFlight() === 0) await endIteration();
  origin.handoff.leave(8_000);
  await once(caller.socket, "data");
  deepStrictEqual([origin.served, target.served], [["/read"], []]);
  caller.socket.destroy();
});

test("a connection that a target takes as its origin stops is served by the origin", async () => {
  await using pair = await startPair((res) => void res.end("there"));
  const { origin, target } = pair;
  const caller = openCaller(origin.callerAddress, "");
  while (origin.handoff.countOpen() === 0) await endIteration();
  origin.handoff.leave(8_000);
  caller.socket.write(createGet("/late"));
  await once(caller.socket, "data");
  deepStrictEqual([origin.served, target.served], [["/late"], []]);
  caller.socket.destroy();
});

test("what a caller sends as its host stops is passed on once the target knows of the stop", async () => {
  // Guards against a run that the stop cuts, since the target learned of it late.
  const peer = drawPeerAddress();
  await using target = await startRawTarget(peer);
  await using origin = await startHandoffHost((_, res) => void res.end(), [
    peer,
  ]);
  const caller = openCaller(origin.callerAddress, "GET /a");
  await until(() => target.received.join("").endsWith("GET /a"));
  target.state.isAnsweringStops = false;
  origin.handoff.leave(8_000);
  caller.socket.write(" HTTP/1.1");
  await until(() => target.received.join("").includes("AZS2"));
  await sleep(100);
  ok(!target.received.join("").includes(" HTTP/1.1"));
  target.state.isAnsweringStops = true;
  await until(() => target.received.join("").includes(" HTTP/1.1"));
  const [handoff, ...stops] = target.received.join("").match(/AZ.*\n/g) ?? [];
  strictEqual(handoff, `AZH3 ${origin.peerAddress} 1 1 100\n`);
  ok(stops.length > 1);
  match(stops.at(-1)!, /^AZS2 \S+ 1 \d+\n$/);
  caller.socket.destroy();
});
