/**
 * Takes connections that other hosts hand off, and serves them like those of
 * this host's own callers, with two differences. The response closes the
 * connection: a failure of this host thus costs a caller at most one request on
 * a new connection, and its next request chooses a host anew. And no request
 * starts that the host which relays it won't see to its end.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { createServer, type Socket } from "node:net";
import { type Clock, startListening, startTimeout } from "../core/mod.ts";
import type { Decision } from "../diagnostics/mod.ts";
import type { Ending } from "../types.ts";
import { createOriginStops } from "./origin_stops.ts";
import {
  ACCEPTED,
  CALLER_ABANDON_MS,
  formatRelay,
  HANDOFF_TIMEOUT_MS,
  type HandoffOffer,
  MAX_PREFACE_BYTES,
  type OriginStop,
  type Preface,
  type ReceivedOutcome,
  REFUSED,
  type RelayId,
  tryDecodePreface,
} from "./protocol.ts";

/** The connections that this host has taken. Disposal closes all of them. */
export interface HandoffServer extends AsyncDisposable {
  /** Listens on the address; rejects if it is already in use. */
  listen(address: string): Promise<void>;
  /**
   * Must be called for each request. Returns whether it arrived on a taken
   * connection, which is to be closed after its response.
   */
  recordRequest(req: IncomingMessage): boolean;
  /**
   * Returns the name of the relay by which the request came, which the lines of
   * the origin have as well; `undefined` if it came from a caller.
   */
  tryGetRelay(req: IncomingMessage): string | undefined;
  /**
   * Whether the connection of the request is there until the deadline, in
   * monotonic ms, as far as is known.
   */
  lasts(req: IncomingMessage, deadlineMs: number): boolean;
  /**
   * Calls `run` when the host that relays the connection of the request is about
   * to exit, unless disposed of before; `undefined` if none relays it.
   */
  onEnding(
    req: IncomingMessage,
    run: (ending: Ending) => void,
  ): Disposable | undefined;
  /** The taken connections that are open. */
  countOpen(): number;
  /**
   * Those of them that were taken a short time ago and on which no request has
   * arrived yet.
   */
  countWaiting(): number;
}

/**
 * Time for which a taken connection without a request counts as waiting, in ms.
 * Callers may connect long before they send a request, and the drain must not
 * wait for these.
 */
const MAX_WAITING_MS = CALLER_ABANDON_MS;

/** Dependencies of the server. */
export interface HandoffServerHost {
  readonly clock: Clock;
  /** Whether this host takes this connection now. */
  mayTake(offer: HandoffOffer): boolean;
  /** Serves the connection, from which nothing but the preface was read. */
  serve(socket: Socket): void;
  /** Called for each error after the server has begun to listen. */
  onError(reason: string): void;
  /** Called for each answer with the peer address of the origin. */
  onAnswered(origin: string, outcome: ReceivedOutcome): void;
  log(decision: Decision): void;
}

/** A connection that this host has taken. */
interface TakenConnection {
  readonly relay: RelayId;
  readonly takenMs: number;
  /** Whether a request has arrived on it. */
  hasRequest: boolean;
}

/** Creates a server that does not listen yet. */
export function createHandoffServer(host: HandoffServerHost): HandoffServer {
  const sockets = new Set<Socket>();
  const taken = new Map<Socket, TakenConnection>();
  const stops = createOriginStops(host.clock);

  function take(socket: Socket, relay: RelayId): void {
    taken.set(socket, {
      relay,
      takenMs: host.clock.monotonicMs(),
      hasRequest: false,
    });
    socket.on("close", () => taken.delete(socket));
    socket.write(Buffer.of(ACCEPTED));
    host.serve(socket);
  }

  function answer(socket: Socket, offer: HandoffOffer): void {
    const { relay } = offer;
    const isTaken = host.mayTake(offer);
    host.onAnswered(relay.origin, isTaken ? "taken" : "refused");
    if (isTaken) take(socket, relay);
    else {
      socket.on("error", () => {});
      socket.end(Buffer.of(REFUSED), () => socket.destroy());
    }
  }

  function recordStop(socket: Socket, stop: OriginStop): void {
    stops.record(stop);
    socket.on("error", () => {});
    socket.end(Buffer.of(ACCEPTED), () => socket.destroy());
    const { origin, incarnation, leftMs } = stop;
    const open =
      [...taken.values()].filter(({ relay }) =>
        relay.origin === origin && relay.incarnation === incarnation
      ).length;
    host.log({ event: "origin-stopping", origin, leftMs, open });
  }

  const server = createServer(
    { allowHalfOpen: true, noDelay: true },
    (socket) => {
      sockets.add(socket);
      socket.on("close", () => sockets.delete(socket));
      awaitPreface(socket, (preface) => {
        if (preface.kind === "handoff") answer(socket, preface.offer);
        else recordStop(socket, preface.stop);
      });
    },
  );

  return {
    listen: (address) =>
      startListening(server, { address, onError: host.onError }),
    recordRequest({ socket }) {
      const connection = taken.get(socket);
      if (connection !== undefined) connection.hasRequest = true;
      return connection !== undefined;
    },
    tryGetRelay({ socket }) {
      const connection = taken.get(socket);
      return connection && formatRelay(connection.relay);
    },
    lasts({ socket }, deadlineMs) {
      const connection = taken.get(socket);
      return connection === undefined ||
        stops.lasts(connection.relay, deadlineMs);
    },
    onEnding({ socket }, run) {
      const connection = taken.get(socket);
      return connection && stops.onEnding(connection.relay, run);
    },
    countOpen: () => taken.size,
    countWaiting() {
      const minTakenMs = host.clock.monotonicMs() - MAX_WAITING_MS;
      return [...taken.values()]
        .filter((each) => !each.hasRequest && each.takenMs > minTakenMs)
        .length;
    },
    async [Symbol.asyncDispose]() {
      stops[Symbol.dispose]();
      if (!server.listening) return;
      const closed = new Promise((resolve) => server.close(resolve));
      for (const socket of sockets) socket.destroy();
      await closed;
    },
  };
}

/**
 * Calls `onRead` with the preface once it has been read, and closes the
 * connection if anything else is read or the time-out passes.
 */
function awaitPreface(
  socket: Socket,
  onRead: (preface: Preface) => void,
): void {
  let received = Buffer.alloc(0);

  function stop(): void {
    timeout[Symbol.dispose]();
    socket.off("data", read);
    socket.off("end", close);
    socket.off("error", close);
    socket.off("close", close);
  }

  function close(): void {
    stop();
    socket.on("error", () => {});
    socket.destroy();
  }

  function read(bytes: Buffer): void {
    received = Buffer.concat([received, bytes]);
    const isWhole = received.includes("\n");
    if (!isWhole && received.length < MAX_PREFACE_BYTES) return;
    const preface = tryDecodePreface(received);
    if (preface === undefined) return close();
    stop();
    socket.pause();
    onRead(preface);
  }

  const timeout = startTimeout(HANDOFF_TIMEOUT_MS, close);
  socket.on("data", read);
  socket.on("end", close);
  socket.on("error", close);
  socket.on("close", close);
}
