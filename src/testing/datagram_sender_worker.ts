/**
 * Sends a datagram to a port on loopback again and again, in a thread of its
 * own, so that one is there whenever a socket opens. It posts a message once it
 * has begun.
 *
 * @module
 */

import { createSocket } from "node:dgram";
import { parentPort, workerData } from "node:worker_threads";

/** What is sent, and where. */
export interface SentDatagram {
  readonly bytes: Uint8Array;
  readonly port: number;
}

/** Datagrams that are sent in one turn of the event loop. */
const BURST = 20;

const { bytes, port } = workerData as SentDatagram;
const socket = createSocket("udp4");
// Nobody may listen yet.
socket.on("error", () => {});

function sendBurst(): void {
  for (let i = 0; i < BURST; i++) socket.send(bytes, port, "127.0.0.1");
  setImmediate(sendBurst);
}

sendBurst();
parentPort!.postMessage("begun");
