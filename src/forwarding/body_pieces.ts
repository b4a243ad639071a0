/**
 * Collects the pieces of a body as they arrive, and joins small ones.
 *
 * Load: a body in chunks of a few bytes each. Failure prevented: each piece is a
 * buffer of its own, which takes some 200 bytes besides its content, so that
 * bodies within all limits take many times what is counted of them, and the
 * process exceeds its memory.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { createGrowingBuffer } from "./growing_buffer.ts";

/** The pieces of one body. */
export interface BodyPieces {
  append(bytes: Buffer): void;
  /** Returns the bytes in order, and forgets them. */
  take(): readonly Buffer[];
}

/** Size from which on a piece is kept without being copied, in bytes. */
const MIN_KEPT_BYTES = 16 * 1024;

/**
 * Size, in bytes, at which joined pieces are complete, so that the memory which
 * is reserved to join more of them stays small beside a large body.
 */
const MAX_JOINED_BYTES = 64 * 1024;

/** Creates the pieces of a body of which nothing has arrived. */
export function createBodyPieces(): BodyPieces {
  let pieces: Buffer[] = [];
  const joined = createGrowingBuffer();

  function endJoined(): void {
    const bytes = joined.take();
    if (bytes.length > 0) pieces.push(bytes);
  }

  return {
    append(bytes) {
      if (bytes.length >= MIN_KEPT_BYTES) {
        endJoined();
        pieces.push(bytes);
        return;
      }
      joined.append(bytes);
      if (joined.getLength() >= MAX_JOINED_BYTES) endJoined();
    },
    take() {
      endJoined();
      const taken = pieces;
      pieces = [];
      return taken;
    },
  };
}
