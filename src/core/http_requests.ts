/**
 * What Node leaves open for those who send HTTP requests.
 *
 * @module
 */

import type { ClientRequest } from "node:http";

/**
 * Calls `run` if the response switches protocols, which this host never asks
 * for. Without a listener Node closes the connection, and the request ends with
 * neither a response nor an error.
 */
export function onProtocolSwitched(
  req: ClientRequest,
  run: (reason: string) => void,
): void {
  req.once("upgrade", (res, socket) => {
    socket.destroy();
    run(`Status ${res.statusCode} switches protocols, which was not asked for`);
  });
}
