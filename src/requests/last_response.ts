/**
 * Closes the connection of a caller after the last of the requests that were read
 * from it.
 *
 * Failure prevented: a caller sends several requests on a connection without
 * waiting (pipelining), and they run side by side. A response that closes the
 * connection ends it before the responses behind it are sent, whatever has run
 * for them.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** The response to the latest request that was read from each connection. */
const latest = new WeakMap<Socket, ServerResponse>();

/** Connections that close after one of their responses. */
const closing = new WeakSet<Socket>();

/**
 * Must be called for each request that is to run. Returns `false` if the
 * connection closes before its response, so that it must not run.
 */
export function acceptUnlessClosing(res: ServerResponse): boolean {
  const { socket } = res.req;
  if (closing.has(socket)) return false;
  latest.set(socket, res);
  return true;
}

/** Closes the connection after this response, unless it has begun. */
export function closeAfter(res: ServerResponse): void {
  if (res.headersSent) return;
  closing.add(res.req.socket);
  res.setHeader("connection", "close");
}

/**
 * Closes the connection after the response to the latest request that was read
 * from it, unless that response has begun.
 */
export function closeAfterLatest(res: ServerResponse): void {
  closeAfter(latest.get(res.req.socket) ?? res);
}
