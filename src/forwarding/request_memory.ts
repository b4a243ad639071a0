/**
 * Counts the body of a request in the memory for all of them, from the first byte
 * until the request has ended: it may be sent again.
 *
 * Only a body that is still being read can be dropped, and its request rejected
 * as not run. Small bodies are dropped only if there are so many that they take
 * twice the room: most requests have one, and each alone is no cause of a lack.
 *
 * @module
 */

import type { HeldMemory } from "./held_memory.ts";

/** A body that counts. Disposal ends the count. */
export interface HeldBody extends Disposable {
  /** To be called when so many more bytes of the body have been read. */
  onRead(bytes: number): void;
  /** To be called when the body has been read to its end. */
  onComplete(): void;
}

/** Largest body, in bytes, that is dropped only among many of its kind. */
export const MAX_SMALL_BODY_BYTES = 64 * 1024;

/**
 * Starts to count a body that is read; `drop` is called at most once, and only
 * until the body is complete.
 */
export function holdRequestBody(
  memory: HeldMemory,
  drop: () => void,
): HeldBody {
  let heldBytes = 0;
  let isComplete = false;
  const held = memory.hold({
    getHeldBytes: () => heldBytes,
    mayDrop: () =>
      !isComplete &&
      (heldBytes > MAX_SMALL_BODY_BYTES || memory.isCrowded()),
    drop,
  });
  return {
    onRead(bytes) {
      heldBytes += bytes;
      held.onGrown(bytes);
    },
    onComplete: () => void (isComplete = true),
    [Symbol.dispose]: () => held[Symbol.dispose](),
  };
}
