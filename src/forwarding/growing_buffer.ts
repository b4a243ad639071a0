/**
 * A buffer to which bytes are appended. Its capacity doubles when it is full,
 * so that appending copies each byte a constant number of times, however small
 * the parts are.
 *
 * @module
 */

import { Buffer } from "node:buffer";

/** The buffer. */
export interface GrowingBuffer {
  append(bytes: Buffer): void;
  getLength(): number;
  /** Returns the bytes without copying them. */
  getBytes(): Buffer;
  /** Returns the bytes and empties the buffer, which then uses new memory. */
  take(): Buffer;
}

const EMPTY = Buffer.alloc(0);

/** Creates an empty buffer, which uses no memory yet. */
export function createGrowingBuffer(): GrowingBuffer {
  let memory = EMPTY;
  let length = 0;

  function ensureCapacity(capacity: number): void {
    if (capacity <= memory.length) return;
    const larger = Buffer.allocUnsafe(Math.max(capacity, memory.length * 2));
    memory.copy(larger, 0, 0, length);
    memory = larger;
  }

  function getBytes(): Buffer {
    return length === 0 ? EMPTY : memory.subarray(0, length);
  }

  return {
    append(bytes) {
      ensureCapacity(length + bytes.length);
      bytes.copy(memory, length);
      length += bytes.length;
    },
    getLength: () => length,
    getBytes,
    take() {
      const bytes = getBytes();
      memory = EMPTY;
      length = 0;
      return bytes;
    },
  };
}
