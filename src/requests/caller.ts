/**
 * The connection to a caller: writes at the speed at which the caller reads,
 * sends heartbeats while the caller waits, and detects a disconnect.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import * as Data from "effect/Data";
import * as Effect from "effect/Effect";

/** The caller disconnected or read nothing for too long. */
export class CallerLost extends Data.TaggedError("CallerLost")<{
  readonly reason: string;
}> {}

/**
 * Time after which a caller that reads nothing is disconnected, in ms. Without
 * this limit a caller that stops reading would hold a slot for ever.
 */
export const CALLER_READ_TIMEOUT_MS = 30_000;

/** Interval between heartbeats to a waiting caller, in ms. */
export const CALLER_HEARTBEAT_INTERVAL_MS = 5_000;

/** Writes, and waits until the connection accepts more data. */
export function writeToCaller(
  res: ServerResponse,
  text: string,
): Effect.Effect<void, CallerLost> {
  return Effect.suspend(() => {
    if (res.destroyed) return Effect.fail(createDisconnected());
    if (res.write(text)) return Effect.void;
    return waitForDrain(res);
  });
}

/** Creates the error of a request whose caller closed its connection. */
export function createDisconnected(): CallerLost {
  return new CallerLost({ reason: "The caller disconnected" });
}

/**
 * Whether the caller closed its connection before it had received its response.
 * The end of the caller's input is read two iterations of the event loop before
 * Node destroys the response. A response that waits behind another one on its
 * connection isn't destroyed with the connection.
 */
export function hasDisconnected(res: ServerResponse): boolean {
  if (res.writableFinished) return false;
  const { socket } = res.req;
  return res.destroyed || socket.readableEnded || socket.destroyed;
}

/**
 * Calls `run` once, as soon as the caller has disconnected, but never before
 * this function returns. Disposing of the result prevents the call.
 */
export function onCallerDisconnected(
  res: ServerResponse,
  run: () => void,
): Disposable {
  let isStopped = false;
  function stop(): void {
    isStopped = true;
    res.off("close", check);
    connection[Symbol.dispose]();
  }
  function check(): void {
    if (isStopped || !hasDisconnected(res)) return;
    stop();
    run();
  }
  res.on("close", check);
  const connection = onConnectionEnd(res.req.socket, check);
  queueMicrotask(check);
  return { [Symbol.dispose]: stop };
}

/**
 * Calls `run` once the response has been sent or its connection has closed. A
 * response that waits behind another one doesn't close with its connection.
 */
export function onResponseClosed(res: ServerResponse, run: () => void): void {
  const { socket } = res.req;
  function close(): void {
    res.off("close", close);
    connection[Symbol.dispose]();
    run();
  }
  res.on("close", close);
  const connection = onConnectionEnd(socket, () => {
    if (socket.destroyed) close();
  });
}

/** Waits for the end of one connection's input, and for its close. */
interface ConnectionWatch {
  readonly callbacks: Set<() => void>;
  /** The listener on the connection. */
  readonly runAll: () => void;
}

const connectionWatches = new WeakMap<Socket, ConnectionWatch>();

/**
 * Calls `run` when the connection's input has ended, and when it has closed.
 * All requests on a connection share one listener: one for each pipelined
 * request would exceed Node's limit.
 */
function onConnectionEnd(socket: Socket, run: () => void): Disposable {
  const watch = connectionWatches.get(socket) ?? watchConnection(socket);
  const { callbacks, runAll } = watch;
  callbacks.add(run);
  function stop(): void {
    if (!callbacks.delete(run) || callbacks.size > 0) return;
    socket.off("end", runAll);
    socket.off("close", runAll);
    connectionWatches.delete(socket);
  }
  return { [Symbol.dispose]: stop };
}

function watchConnection(socket: Socket): ConnectionWatch {
  const callbacks = new Set<() => void>();
  function runAll(): void {
    for (const run of [...callbacks]) {
      if (callbacks.has(run)) run();
    }
  }
  const watch: ConnectionWatch = { callbacks, runAll };
  connectionWatches.set(socket, watch);
  socket.on("end", runAll);
  socket.on("close", runAll);
  return watch;
}

/** Fails as soon as the caller's connection closes; never succeeds. */
export function failOnDisconnect(
  res: ServerResponse,
): Effect.Effect<never, CallerLost> {
  return Effect.callback<never, CallerLost>((resume) => {
    const watch = onCallerDisconnected(
      res,
      () => resume(Effect.fail(createDisconnected())),
    );
    return Effect.sync(() => watch[Symbol.dispose]());
  });
}

/**
 * Keeps the connection of a waiting caller alive: sends the interim response
 * 102 before the response headers, which clients ignore, and comments on an
 * open event stream. Never ends.
 */
export function sendHeartbeats(
  req: IncomingMessage,
  res: ServerResponse,
): Effect.Effect<never> {
  // HTTP/1.0 has no interim responses.
  const acceptsInterim = req.httpVersionMajor === 1 &&
    req.httpVersionMinor >= 1;
  return Effect.gen(function* () {
    while (true) {
      yield* Effect.sleep(CALLER_HEARTBEAT_INTERVAL_MS);
      if (res.destroyed || res.writableEnded) continue;
      if (!res.headersSent) {
        if (acceptsInterim) res.writeProcessing();
      } else if (res.writableLength === 0) {
        res.write(": heartbeat\n\n");
      }
    }
  });
}

function waitForDrain(
  res: ServerResponse,
): Effect.Effect<void, CallerLost> {
  const drained = Effect.callback<void>((resume) => {
    const onDrain = () => resume(Effect.void);
    res.once("drain", onDrain);
    return Effect.sync(() => res.off("drain", onDrain));
  });
  const reason = `The caller read nothing for ${CALLER_READ_TIMEOUT_MS} ms`;
  return drained.pipe(
    Effect.timeoutOrElse({
      duration: CALLER_READ_TIMEOUT_MS,
      orElse: () => {
        res.destroy();
        return Effect.fail(new CallerLost({ reason }));
      },
    }),
  );
}
