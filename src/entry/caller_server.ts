/**
 * The server for callers. It accepts their connections apart from the HTTP
 * server, so that a connection can be handed off to another host before
 * anything is read from it; connections that stay are given to the HTTP server.
 *
 * @module
 */

import type { RequestListener, Server } from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { startListening, startTimeout } from "../core/mod.ts";
import { createHttpServer, type ListeningServer } from "./servers.ts";

/** The server for callers. */
export interface CallerServer extends ListeningServer {
  /** The HTTP server. It doesn't listen itself. */
  readonly server: Server;
  /** Listens on the address, an IP and a port; rejects if it is in use. */
  listen(address: string): Promise<void>;
  /** Serves a connection, from which no byte of a request was read. */
  serve(socket: Socket): void;
  /**
   * Makes the accept queue at least this long, by listening anew. Connections
   * that wait in the queue meanwhile are reset.
   */
  lengthenBacklog(backlog: number): void;
  /**
   * Reads nothing more from the connections that are served until those that
   * have been closed meanwhile are freed, an iteration of the event loop later.
   */
  pauseReading(): void;
  /** Open connections, also those that are handed off. */
  countConnections(): number;
}

/** What a server for callers does. */
export interface CallerServerOptions {
  readonly onRequest: RequestListener;
  /** Called for each new connection, which is not being read. */
  onConnection(socket: Socket): void;
  /** Length of the accept queue. */
  readonly backlog: number;
  /** Called for each error after the server has begun to listen. */
  onError(reason: string): void;
  /**
   * Interval at which connections with late headers are closed, in ms; Node's
   * default, 30 s, if absent.
   */
  readonly headerCheckIntervalMs?: number;
}

/** Time after which listening anew is tried again if it failed, in ms. */
const LISTEN_RETRY_MS = 1_000;

/** Closes are handled at the end of each iteration of the event loop. */
function runAfterPendingCloses(run: () => void): void {
  setImmediate(() => setImmediate(run));
}

/** Creates a server that is not listening. */
export function createCallerServer(options: CallerServerOptions): CallerServer {
  const { onRequest, onConnection, backlog, headerCheckIntervalMs } = options;
  const server = createHttpServer(onRequest, headerCheckIntervalMs);
  const served = new Set<Socket>();
  let connections = 0;
  let isPaused = false;
  const acceptor = createServer({
    // As the HTTP server accepts connections by itself.
    allowHalfOpen: true,
    noDelay: true,
    pauseOnConnect: true,
  }, (socket) => {
    connections++;
    socket.once("close", () => connections--);
    onConnection(socket);
  });
  let listenAddress: { host: string; port: number } | undefined;
  let wantedBacklog = backlog;
  let isDisposed = false;

  function listenAnew(): void {
    acceptor.listen({ ...listenAddress, backlog: wantedBacklog });
  }

  async function listen(address: string): Promise<void> {
    await startListening(acceptor, {
      address,
      backlog,
      onError: options.onError,
    });
    const bound = acceptor.address() as AddressInfo;
    listenAddress = { host: bound.address, port: bound.port };
    // A host that could not listen anew would take no callers any more.
    acceptor.on("error", () => {
      if (acceptor.listening) return;
      startTimeout(LISTEN_RETRY_MS, () => {
        if (!isDisposed) listenAnew();
      });
    });
    // The HTTP server tracks its connections for time-outs and for closing them
    // only from this event on.
    server.emit("listening");
  }

  function resumeReading(): void {
    isPaused = false;
    for (const socket of served) socket.resume();
  }

  return {
    server,
    listen,
    serve(socket) {
      served.add(socket);
      socket.once("close", () => served.delete(socket));
      server.emit("connection", socket);
      socket.resume();
    },
    lengthenBacklog(minBacklog) {
      if (minBacklog <= wantedBacklog) return;
      wantedBacklog = minBacklog;
      acceptor.close();
      listenAnew();
    },
    pauseReading() {
      if (isPaused) return;
      isPaused = true;
      for (const socket of served) socket.pause();
      runAfterPendingCloses(resumeReading);
    },
    countConnections: () => connections,
    async [Symbol.asyncDispose]() {
      isDisposed = true;
      server.closeIdleConnections();
      const closed = new Promise((resolve) => acceptor.close(resolve));
      server.closeAllConnections();
      // Stops the checks of its connections; there is no socket to close.
      server.close();
      await closed;
    },
  };
}
