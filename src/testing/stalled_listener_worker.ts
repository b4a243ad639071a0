/**
 * An upstream in a thread of its own, which for a time accepts no connection:
 * the thread stands still while the queue of its listening socket is full, so
 * that the system lets further connection attempts wait.
 *
 * @module
 */

import { connect, createServer, type Socket } from "node:net";
import type { AddressInfo } from "node:net";
import { parentPort, workerData } from "node:worker_threads";
import { answer, unframedHead } from "./raw_responses.ts";
import type { StalledListenerOptions } from "./stalled_listeners.ts";

/** Length of the queue, and the connections that surely fill it. */
const BACKLOG = 1;
const FILLING_CONNECTIONS = 4;

const { stallsMs, when } = workerData as StalledListenerOptions;

function onRequest(socket: Socket, id: string): void {
  if (when === "at-start") return void socket.write(answer(id, "whole"));
  // The queue is full before the caller can see the end of the body.
  fillQueue(() => {
    socket.once("finish", stall);
    socket.end(unframedHead(id) + "id: 1\ndata: whole\n\n");
  });
}

/** Fills the queue and calls back before any connection is accepted. */
function fillQueue(onFull: () => void): void {
  for (let i = 0; i < FILLING_CONNECTIONS; i++) {
    connect(getPort(), "127.0.0.1").on("error", () => {});
  }
  // Connections are begun in the queue of ticks, in order.
  process.nextTick(onFull);
}

function stall(): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, stallsMs);
}

function getPort(): number {
  return (server.address() as AddressInfo).port;
}

const server = createServer((socket) => {
  socket.on("error", () => {});
  socket.on("data", (bytes) => {
    const id = /x-id: (\S+)/i.exec(bytes.toString("latin1"))?.[1];
    if (id !== undefined) onRequest(socket, id);
  });
});
server.listen({ host: "127.0.0.1", port: 0, backlog: BACKLOG }, () => {
  if (when === "after-a-body") return parentPort!.postMessage(getPort());
  fillQueue(() => {
    parentPort!.postMessage(getPort());
    stall();
  });
});
