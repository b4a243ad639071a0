/**
 * Counts a response that was given to its caller whole and waits for the caller
 * to read, or for earlier responses on a connection with pipelined requests.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import { onResponseClosed } from "../requests/caller.ts";
import type { HeldMemory } from "./held_memory.ts";

/**
 * Counts the response until it is sent. If it has to be dropped its connection
 * is closed, which tells the caller that the response is incomplete, and
 * `onDropped` is called with the bytes that were not sent.
 */
export function holdUntilSent(
  memory: HeldMemory,
  res: ServerResponse,
  onDropped: (unsentBytes: number) => void,
): void {
  const unsentBytes = res.writableLength;
  if (unsentBytes === 0) return;
  const held = memory.hold({
    getHeldBytes: () => res.writableLength,
    drop() {
      onDropped(res.writableLength);
      res.req.socket.destroy();
    },
  });
  onResponseClosed(res, () => held[Symbol.dispose]());
  held.onGrown(unsentBytes);
}
