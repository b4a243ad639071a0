/**
 * Responses to requests that came on one connection, without a network.
 *
 * @module
 */

import { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * Creates the responses. None has the connection yet; `assignSocket` gives it
 * to the first, as Node's server does.
 */
export function createPipelinedResponses(
  socket: Socket,
  count: number,
): ServerResponse[] {
  return Array.from(
    { length: count },
    () => new ServerResponse(new IncomingMessage(socket)),
  );
}
