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
 * An upstream that responds and ends before it has read a long request resets
 * the connection too, however late it closes. Its kernel acknowledges no more of
 * the request than its buffers hold, which shows before the reset comes.
 *
 * @module
 */

import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { tryCountUnacknowledged } from "./unacknowledged.ts";

/** How a connection ended: in order, or by a reset or an abort. */
export type ConnectionEnd = "closed" | "failed";

/**
 * Time for which a reset may follow the end of a connection, in ms: longer than
 * the delay between two regions.
 */
const RESET_WAIT_MS = 50;

/**
 * Size of a request body, in bytes, that the peer's kernel may acknowledge though
 * nobody reads it.
 */
const MAX_UNREAD_BYTES = 64 * 1024;

/**
 * Watches a connection that carries nothing after the body that it is receiving,
 * and on which a request with `sentBytes` of body was sent. The socket's present
 * listeners for its end, which destroy it, are called only once it is known how it
 * ended. Never rejects.
 */
export function watchConnectionEnd(
  socket: Socket,
  sentBytes: number,
): Promise<ConnectionEnd> {
  const endListeners = socket.listeners("end");
  socket.removeAllListeners("end");
  socket.allowHalfOpen = true;
  return new Promise((resolve) => {
    socket.on("error", () => resolve("failed"));
    socket.once("close", () => resolve("failed"));
    socket.once("end", () => setTimeout(checkRequest, RESET_WAIT_MS));

    async function checkRequest(): Promise<void> {
      const mayBeUnread = sentBytes > MAX_UNREAD_BYTES;
      if (mayBeUnread && await isStuck(socket)) socket.destroy();
      else probe();
    }

    function probe(): void {
      socket.write("\r\n", (err) => {
        if (err) return resolve("failed");
        resolve("closed");
        for (const listener of endListeners) listener.call(socket);
      });
    }
  });
}

/** Whether the peer has stopped to acknowledge what was sent, before its end. */
async function isStuck(socket: Socket): Promise<boolean> {
  let before = Infinity;
  while (true) {
    const left = await tryCountUnacknowledged(socket) ?? 0;
    if (left === 0 || left >= before) return left > 0;
    before = left;
    await sleep(RESET_WAIT_MS);
  }
}
