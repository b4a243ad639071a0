/**
 * Bounds the bytes that a host holds for all responses together: bodies that
 * are being received, and what waits for callers that read slowly.
 *
 * Load: several upstreams send bytes without end at the same time, each below
 * the limit of a single response, or callers do not read large responses.
 *
 * Failure prevented: the process exceeds the memory of its host and is killed,
 * with all requests that it serves. When there is no more room, the response
 * that holds the most is dropped: it alone is out of the ordinary, and the next
 * to arrive is as likely as not a small one that would leave nothing free.
 *
 * @module
 */

import { AttemptFailed } from "./types.ts";

/** A response of which the host holds bytes. */
export interface ResponseHolder {
  /** Returns the bytes that it holds now. */
  getHeldBytes(): number;
  /** Drops the bytes, since there is no room and it holds the most. */
  drop(): void;
}

/** A counted response. Disposal ends the count. */
export interface HeldResponse extends Disposable {
  /** To be called when the response holds so many bytes more than before. */
  onGrown(bytes: number): void;
}

/** The memory for responses of one host. */
export interface ResponseMemory {
  /** Starts to count what a response holds. */
  hold(holder: ResponseHolder): HeldResponse;
}

/**
 * The share of a host's memory that responses may take, and request bodies as
 * well. The smallest hosts have 250 MB, of which the process itself takes up to
 * half.
 */
const HELD_SHARE = 1 / 8;

/**
 * Returns the bytes that the responses of a host with this memory may take, or
 * the bodies of its requests.
 */
export function getMaxHeldBytes(hostMemoryBytes: number): number {
  return hostMemoryBytes * HELD_SHARE;
}

/** Creates the memory, which holds nothing yet. */
export function createResponseMemory(maxBytes: number): ResponseMemory {
  const holders = new Set<ResponseHolder>();
  /** What was held at the last count, and all that was added since. */
  let mostBytes = 0;

  function countBytes(): number {
    let bytes = 0;
    for (const holder of holders) bytes += holder.getHeldBytes();
    return bytes;
  }

  function getLargest(): ResponseHolder {
    return [...holders].reduce((largest, each) =>
      each.getHeldBytes() > largest.getHeldBytes() ? each : largest
    );
  }

  function makeRoom(): void {
    mostBytes = countBytes();
    while (mostBytes > maxBytes) {
      const largest = getLargest();
      holders.delete(largest);
      largest.drop();
      mostBytes = countBytes();
    }
  }

  return {
    hold(holder) {
      holders.add(holder);
      return {
        onGrown(bytes) {
          mostBytes += bytes;
          if (mostBytes > maxBytes) makeRoom();
        },
        [Symbol.dispose]: () => void holders.delete(holder),
      };
    },
  };
}

/** Creates the failure of a response that was dropped while it arrived. */
export function createDroppedError(heldBytes: number): AttemptFailed {
  const reason =
    `The host has no room for responses, of which this one held the most: ${heldBytes} bytes`;
  return new AttemptFailed({ kind: "broken", reason });
}
