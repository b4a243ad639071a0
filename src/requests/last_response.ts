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

/** Responses after which their connections close. */
const closing = new WeakSet<ServerResponse>();

/**
 * Must be called for each request that is to run. Returns `false` if the
 * connection closes before its response, so that it must not run.
 */
export function acceptBehindEarlier(res: ServerResponse): boolean {
  const { socket } = res.req;
  const earlier = latest.get(socket);
  const isClosing = earlier !== undefined && closing.has(earlier);
  if (isClosing && earlier.headersSent) return false;
  latest.set(socket, res);
  if (!isClosing) return true;
  closing.delete(earlier);
  earlier.removeHeader("connection");
  closeAfterLatest(res);
  return true;
}

/**
 * Closes the connection after the response to the latest request that was read
 * from it, unless that response has begun.
 */
export function closeAfterLatest(res: ServerResponse): void {
  const last = latest.get(res.req.socket) ?? res;
  if (last.headersSent) return;
  closing.add(last);
  last.setHeader("connection", "close");
}
