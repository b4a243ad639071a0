/**
 * Marks responses as the last ones of their connections, so that the next
 * request of a caller arrives on a new connection, which can be handed off.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { acceptUnlessClosing, closeAfter } from "../requests/last_response.ts";

/** The responses that close their connections. */
export interface LastResponses {
  /**
   * Must be called for each request. If `isLast`, the response closes the
   * connection, where this can't cost the caller the response. Returns `false`
   * for a pipelined request behind the response that closes its connection, for
   * whatever reason: it must not run, since nothing could be sent to its caller.
   */
  acceptRequest(
    req: IncomingMessage,
    res: ServerResponse,
    isLast: boolean,
  ): boolean;
}

/** Creates the state of a host without connections. */
export function createLastResponses(): LastResponses {
  /** The latest response on each connection that was to be closed after it. */
  const latest = new WeakMap<Socket, ServerResponse>();

  return {
    acceptRequest(req, res, isLast) {
      const earlier = latest.get(req.socket);
      if (earlier !== undefined) closeAfter(earlier);
      if (!acceptUnlessClosing(res)) return false;
      latest.delete(req.socket);
      if (!isLast) return true;
      latest.set(req.socket, res);
      // An early refusal keeps the connection open: closing it while the body
      // arrives would reset it, and the caller might not read the refusal.
      if (hasBody(req)) req.on("end", () => closeAfter(res));
      else closeAfter(res);
      return true;
    },
  };
}

function hasBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
}
