/**
 * Watches a connection that awaits or receives a response for bytes that are no
 * part of its body: interim heads, empty lines before the head, and what frames
 * the chunks. The parser drops them and tells nobody, so that an upstream that
 * sends them without end occupies the host until the request's deadline.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";

/** What is watched. */
export interface WatchedResponse {
  /** Returns the bytes of the body that have arrived, read or not. */
  getBodyBytes(): number;
  /** Called when too many other bytes have arrived. */
  onExceeded(reason: string): void;
}

/**
 * Most bytes beside the body, whatever its size: several times the largest head
 * and trailer that the parser accepts.
 */
export const MAX_OVERHEAD_BYTES = 64 * 1024;

/**
 * Most further bytes for each byte of the body; a chunk of one byte takes five.
 */
const OVERHEAD_PER_BODY_BYTE = 8;

/**
 * Starts to count. To be called once the parser listens to the socket, so that
 * it has handled the bytes that are counted. Disposal ends it.
 */
export function watchOverhead(
  socket: Socket,
  { getBodyBytes, onExceeded }: WatchedResponse,
): Disposable {
  let receivedBytes = 0;

  function onData(bytes: Buffer): void {
    receivedBytes += bytes.length;
    if (receivedBytes <= MAX_OVERHEAD_BYTES) return;
    const bodyBytes = getBodyBytes();
    const overheadBytes = receivedBytes - bodyBytes;
    const allowedBytes = MAX_OVERHEAD_BYTES +
      bodyBytes * OVERHEAD_PER_BODY_BYTE;
    if (overheadBytes <= allowedBytes) return;
    stop();
    onExceeded(`${overheadBytes} bytes arrived that are no part of a body`);
  }

  function stop(): void {
    socket.off("data", onData);
  }

  socket.on("data", onData);
  return { [Symbol.dispose]: stop };
}
