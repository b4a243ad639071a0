/**
 * Marks responses as the last ones of their connections, so that the next
 * request of a caller arrives on a new connection, which can be handed off.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { hasBody } from "../requests/early_response.ts";
import { acceptUnlessClosing, closeAfter } from "../requests/last_response.ts";

/**
 * What becomes of a connection behind a response: it is kept, it is closed, or
 * it is closed unless the response comes before the body of its request, so that
 * a refusal needn't wait for a body that may be long.
 */
export type ConnectionUse = "keep" | "close" | "close-unless-early";

/** The responses that close their connections. */
export interface LastResponses {
  /**
   * Must be called for each request, with the use of its connection. Returns
   * `false` for a pipelined request behind the response that closes its
   * connection, for whatever reason: it must not run, since nothing could be sent
   * to its caller.
   */
  acceptRequest(
    req: IncomingMessage,
    res: ServerResponse,
    use: ConnectionUse,
  ): boolean;
}

/** Creates the state of a host without connections. */
export function createLastResponses(): LastResponses {
  /** The latest response on each connection that was to be closed after it. */
  const latest = new WeakMap<Socket, ServerResponse>();

  return {
    acceptRequest(req, res, use) {
      const earlier = latest.get(req.socket);
      if (earlier !== undefined) closeAfter(earlier);
      if (!acceptUnlessClosing(res)) return false;
      latest.delete(req.socket);
      if (use === "keep") return true;
      latest.set(req.socket, res);
      if (use === "close-unless-early" && hasBody(req)) {
        req.on("end", () => closeAfter(res));
      } else closeAfter(res);
      return true;
    },
  };
}
