/**
 * Asks whether an upstream accepts connections.
 *
 * @module
 */

import { connect } from "node:net";
import { isAddress } from "../core/mod.ts";
import type { ConnectResult } from "../crashes/mod.ts";

/**
 * Time-out for connecting, in ms: a dozen round trips between regions. A
 * machine without power never answers a connection attempt.
 */
export const CONNECT_TIMEOUT_MS = 500;

/**
 * Tries to connect until there is an answer, whatever it is, or no time remains.
 * Each time-out is followed by a new attempt: the system repeats one that was
 * not answered only after seconds.
 */
export async function connectWithin(
  address: string,
  getRemainingMs: () => number,
): Promise<ConnectResult> {
  while (true) {
    const result = await tryConnect(address);
    if (result !== "no-answer" || getRemainingMs() <= 0) return result;
  }
}

/** Code of the error of a connection to where nothing listens. */
export const REFUSED_CODE = "ECONNREFUSED";

/**
 * Tries to connect to the address, and closes the connection at once. "failed"
 * also for a text that is no address.
 */
export function tryConnect(address: string): Promise<ConnectResult> {
  if (!isAddress(address)) return Promise.resolve("failed");
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    const timeout = setTimeout(() => end("no-answer"), CONNECT_TIMEOUT_MS);
    function end(result: ConnectResult): void {
      clearTimeout(timeout);
      socket.destroy();
      resolve(result);
    }
    socket.once("connect", () => end("accepted"));
    socket.on(
      "error",
      (err: NodeJS.ErrnoException) =>
        end(err.code === REFUSED_CODE ? "refused" : "failed"),
    );
  });
}
