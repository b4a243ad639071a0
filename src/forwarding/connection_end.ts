/**
 * Determines how the connection ended on which a body without a length arrived.
 * Only an orderly end of the connection marks such a body as complete, and
 * neither Node nor the socket tells at once whether the end was orderly:
 *
 * - A reset that arrives together with the last bytes is reported by Node as an
 *   ordinary end.
 * - A reset that follows the end is lost if this host has closed its side by
 *   then.
 *
 * Therefore this host keeps its side open for a moment after the end and then
 * writes an empty line, which an upstream that has closed its side ignores. The
 * write fails at once on a connection that was reset before it.
 *
 * @module
 */

import type { Socket } from "node:net";

/** How a connection ended: in order, or by a reset or an abort. */
export type ConnectionEnd = "closed" | "failed";

/**
 * Time for which a reset may follow the end of a connection, in ms: longer than
 * the delay between two regions.
 */
const RESET_WAIT_MS = 50;

/**
 * Watches a connection that carries nothing after the body that it is
 * receiving. The socket's present listeners for its end, which destroy it, are
 * called only once it is known how it ended. Never rejects.
 */
export function watchConnectionEnd(socket: Socket): Promise<ConnectionEnd> {
  const endListeners = socket.listeners("end");
  socket.removeAllListeners("end");
  socket.allowHalfOpen = true;
  return new Promise((resolve) => {
    socket.on("error", () => resolve("failed"));
    socket.once("close", () => resolve("failed"));
    socket.once("end", () => setTimeout(probe, RESET_WAIT_MS));

    function probe(): void {
      socket.write("\r\n", (err) => {
        if (err) return resolve("failed");
        resolve("closed");
        for (const listener of endListeners) listener.call(socket);
      });
    }
  });
}
