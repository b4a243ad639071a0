/**
 * Hosts on loopback that hand connections off to each other, each with a server
 * for callers whose requests the test answers.
 *
 * @module
 */

import type { RequestListener, ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { createManualClock } from "../core/mod.ts";
import type { Decision } from "../diagnostics/mod.ts";
import { createCallerServer } from "../entry/caller_server.ts";
import { createHandoff, type Handoff } from "../handoff/mod.ts";

/** A host and the state that the test sets. */
export interface HandoffFixture extends AsyncDisposable {
  readonly peerAddress: string;
  readonly callerAddress: string;
  readonly handoff: Handoff;
  readonly decisions: readonly Decision[];
  /** URLs of the requests that it was given. */
  readonly served: readonly string[];
  readonly state: {
    isBusy: boolean;
    isDraining: boolean;
    unreadMs: number;
    /** Peer addresses of the neighbours that are alive and not full. */
    targets: readonly string[];
  };
  /** Lets seconds pass with the event loop as busy as `state` says. */
  pass(): void;
}

let drawnAddresses = 0;

/** Draws a peer address of this process alone. */
export function drawPeerAddress(): string {
  drawnAddresses++;
  return `127.${1 + process.pid % 254}.${drawnAddresses}.7:7300`;
}

/** Starts a host whose neighbours are `targets` and a few full hosts. */
export async function startHandoffHost(
  onRequest: RequestListener,
  targets: readonly string[] = [],
): Promise<HandoffFixture> {
  const clock = createManualClock();
  const peerAddress = drawPeerAddress();
  const callerAddress = peerAddress.replace(":7300", ":7380");
  const decisions: Decision[] = [];
  const served: string[] = [];
  const state = {
    isBusy: targets.length > 0,
    isDraining: false,
    unreadMs: 0,
    targets,
  };
  const times = { active: 0, idle: 0 };
  const handoff = createHandoff({
    clock,
    self: peerAddress,
    incarnation: 1,
    maxFds: 64,
    random: Math.random,
    readLoopTimes: () => ({ ...times }),
    getUnreadMs: () => state.unreadMs,
    getAliveHosts: () => [
      peerAddress,
      ...state.targets,
      "full-1",
      "full-2",
      "full-3",
    ],
    isFull: (host) => host.startsWith("full"),
    isDraining: () => state.isDraining,
    isConfigured: () => true,
    serve: (socket) => callers.serve(socket),
    onAsked: () => {},
    onReceived: () => {},
    onAbandoned: () => {},
    onReturned: () => {},
    log: (decision) => void decisions.push(decision),
  });
  const callers = createCallerServer({
    onRequest(req, res) {
      if (!handoff.acceptRequest(req, res)) return;
      served.push(req.url ?? "");
      onRequest(req, res);
    },
    onConnection: handoff.offer,
    backlog: 16,
    onError: (reason) => {
      throw new Error(reason);
    },
  });
  await callers.listen(callerAddress);
  await handoff.listen();

  function pass(): void {
    times[state.isBusy ? "active" : "idle"] += 4_000;
    clock.advance(4_000);
    handoff.tick();
  }

  pass();
  return {
    peerAddress,
    callerAddress,
    handoff,
    decisions,
    served,
    state,
    pass,
    async [Symbol.asyncDispose]() {
      await handoff[Symbol.asyncDispose]();
      await callers[Symbol.asyncDispose]();
    },
  };
}

/** What a caller has read from its connection, and how that ended. */
export interface ReadConnection {
  readonly text: string;
  /** Whether it was reset rather than ended in order. */
  readonly isReset: boolean;
}

/** A caller on a raw connection. */
export interface HandoffCaller {
  readonly socket: Socket;
  /** Ends with the connection. */
  readonly read: Promise<ReadConnection>;
}

/** Connects and sends the text. */
export function openCaller(address: string, text: string): HandoffCaller {
  const [host, port] = address.split(":");
  const socket = connect(Number(port), host);
  socket.write(text);
  const read = new Promise<ReadConnection>((resolve) => {
    let received = "";
    let isReset = false;
    socket.on("data", (bytes) => received += bytes.toString("latin1"));
    socket.on("error", () => isReset = true);
    // Node reports a reset that arrives with the last bytes as an orderly end.
    socket.on("end", () => {
      isReset ||= !socket.writableEnded && socket.remoteAddress === undefined;
    });
    socket.on("close", () => resolve({ text: received, isReset }));
  });
  return { socket, read };
}

/** A request without a body. */
export function createGet(path: string): string {
  return `GET ${path} HTTP/1.1\r\nHost: desk.example\r\n\r\n`;
}

/** Two hosts, of which the first hands its connections off to the second. */
export interface HandoffPair extends AsyncDisposable {
  readonly origin: HandoffFixture;
  readonly target: HandoffFixture;
}

/** Starts an overloaded host, and an idle one that answers as given. */
export async function startPair(
  answer: (res: ServerResponse) => void,
): Promise<HandoffPair> {
  const target = await startHandoffHost((_, res) => answer(res));
  const origin = await startHandoffHost(
    (_, res) => void res.end("served by the origin"),
    [target.peerAddress],
  );
  return {
    target,
    origin,
    async [Symbol.asyncDispose]() {
      await origin[Symbol.asyncDispose]();
      await target[Symbol.asyncDispose]();
    },
  };
}

/** Waits until the condition holds. */
export async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(5);
}
