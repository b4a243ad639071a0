import { deepStrictEqual, match, ok, strictEqual } from "node:assert";
import { once } from "node:events";
import type { RequestListener } from "node:http";
import type { Socket } from "node:net";
import process from "node:process";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { createGet, openCaller } from "../testing/handoff_hosts.ts";
import { type CallerServer, createCallerServer } from "./caller_server.ts";
import { setCallerLimits } from "./servers.ts";

let port = 7_500;

async function startServer(onRequest: RequestListener) {
  port++;
  const address = `127.${1 + process.pid % 254}.250.7:${port}`;
  const accepted: Socket[] = [];
  const server: CallerServer = createCallerServer({
    onRequest,
    onConnection(socket) {
      accepted.push(socket);
      server.serve(socket);
    },
    backlog: 8,
    onError: (reason) => {
      throw new Error(reason);
    },
    headerCheckIntervalMs: 20,
  });
  await server.listen(address);
  return { address, accepted, server };
}

test("a connection that stays is served and kept open as by the HTTP server alone", async () => {
  const { address, accepted, server } = await startServer((_, res) => {
    res.end("here");
  });
  await using _server = server;
  const { socket } = openCaller(address, createGet("/1"));
  await once(socket, "data");
  socket.write(createGet("/2"));
  const [bytes] = await once(socket, "data");
  match(String(bytes), /\r\nConnection: keep-alive\r\n(.*\r\n)*\r\nhere$/);
  strictEqual(accepted.length, 1);
  socket.destroy();
});

test("a longer accept queue takes new connections and keeps the open ones", async () => {
  // Guards against a host that stops accepting, or closes open connections, when
  // its accept queue is lengthened.
  const { address, accepted, server } = await startServer((_, res) => {
    res.end("here");
  });
  await using _server = server;
  const { socket: before } = openCaller(address, createGet("/1"));
  await once(before, "data");
  server.lengthenBacklog(64);
  server.lengthenBacklog(64);
  await sleep(50);
  const { socket: after } = openCaller(address, createGet("/2"));
  await once(after, "data");
  before.write(createGet("/3"));
  await once(before, "data");
  strictEqual(accepted.length, 2);
  before.destroy();
  after.destroy();
});

test("nothing is read from a connection that has not been given to the HTTP server", async () => {
  // Guards against bytes that a handed-off connection would lack at the target.
  const { address, accepted, server } = await startServer(() => {});
  await using _server = server;
  server.serve = () => {};
  const caller = openCaller(address, createGet("/"));
  while (accepted.length === 0) await once(caller.socket, "ready");
  for (let turn = 0; turn < 20; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  strictEqual(accepted[0]!.bytesRead, 0);
  accepted[0]!.destroy();
});

test("the time-outs for headers and idle connections hold for connections that were given to the HTTP server", async () => {
  // Guards against connections that are held open for ever: a server tracks
  // them only after it has begun to listen.
  const { address, server } = await startServer((_, res) => void res.end());
  await using _server = server;
  setCallerLimits(server.server, { ...limits, headerTimeoutMs: 60 });
  const silent = openCaller(address, "");
  const slow = openCaller(address, "GET / HTTP/1.1\r\n");
  for (const { read } of [silent, slow]) {
    match((await read).text, /^HTTP\/1.1 408 /);
  }
  server.server.keepAliveTimeout = 30;
  const idle = openCaller(address, createGet("/"));
  ok((await idle.read).text.startsWith("HTTP/1.1 200 "));
});

test("limits of a configuration that are no times end no host", async () => {
  // Guards against an exception of Node's timers behind the first response.
  const { address, server } = await startServer((_, res) => void res.end());
  await using _server = server;
  for (const ms of [-5_000, -1, 1e300]) {
    setCallerLimits(server.server, {
      ...limits,
      headerTimeoutMs: ms,
      idleTimeoutMs: ms,
    });
    const { socket } = openCaller(address, createGet("/"));
    await once(socket, "data");
    socket.destroy();
  }
});

test("disposal closes idle and active connections", async () => {
  const { address, server } = await startServer((req, res) => {
    if (req.url === "/idle") res.end("done");
  });
  const idle = openCaller(address, createGet("/idle"));
  await once(idle.socket, "data");
  const requested = once(server.server, "request");
  const active = openCaller(address, createGet("/active"));
  await requested;
  server.server.closeIdleConnections();
  await idle.read;
  await server[Symbol.asyncDispose]();
  deepStrictEqual((await active.read).text, "");
});

const limits = {
  maxHeaderBytes: 16_384,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
  maxBodyBytes: 100_000,
};
