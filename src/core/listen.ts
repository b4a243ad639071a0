/**
 * Starts servers.
 *
 * @module
 */

import type { Server } from "node:net";

/** Where and how a server listens. */
export interface ListenOptions {
  /** An IP address and a port. */
  readonly address: string;
  /** Length of the accept queue; Node's default if absent. */
  readonly backlog?: number;
  /**
   * Called for each error after the server has begun to listen, such as a lack
   * of file descriptors for a new connection. Without a listener, such an error
   * would end the process and all requests that it serves.
   */
  onError(reason: string): void;
}

/**
 * Opens an address, named by its protocol, IP and port; may wait until it is
 * free.
 */
export type OpenAddress = <T>(
  address: string,
  run: () => Promise<T>,
) => Promise<T>;

/** Opens an address without waiting for it. */
export const openAtOnce: OpenAddress = (_, run) => run();

/** Starts to listen; rejects if the address is already in use. */
export function startListening(
  server: Server,
  { address, backlog, onError }: ListenOptions,
): Promise<void> {
  const [host, port] = address.split(":");
  return new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port: Number(port), backlog }, () => {
      server.off("error", reject);
      server.on("error", (err) => onError(String(err)));
      resolve();
    });
  });
}

/**
 * Whether an address could not be bound since something else holds it, or since
 * the machine doesn't have it yet. Servers of gRPC name the error in their text
 * only.
 */
export function isAddressUnavailable(err: unknown): boolean {
  return /EADDRINUSE|EADDRNOTAVAIL/.test(String(err));
}
