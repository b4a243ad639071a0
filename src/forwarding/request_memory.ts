/**
 * Bounds the bytes that a host holds for the bodies of all requests together,
 * from the first byte until the request has ended: it may be sent again.
 *
 * Load: many callers send bodies of the largest size that is allowed at the same
 * time.
 *
 * Failure prevented: the process exceeds the memory of its host and is killed,
 * with all requests that it serves. When there is no more room, the largest body
 * that is still being read is dropped, and its request is rejected as not run.
 * Small bodies are never dropped: they are no cause, and most requests have one.
 *
 * @module
 */

/** A body that counts. Disposal ends the count. */
export interface HeldBody extends Disposable {
  /** To be called when so many more bytes of the body have been read. */
  onRead(bytes: number): void;
  /** To be called when the body has been read to its end. */
  onComplete(): void;
}

/** The memory for request bodies of one host. */
export interface RequestMemory {
  /**
   * Starts to count a body that is read; `drop` is called at most once, and only
   * until the body is complete.
   */
  hold(drop: () => void): HeldBody;
}

/** Largest body, in bytes, that is never dropped. */
export const MAX_SMALL_BODY_BYTES = 64 * 1024;

interface Holder {
  readonly drop: () => void;
  bytes: number;
}

/** Creates the memory, which holds nothing yet. */
export function createRequestMemory(maxBytes: number): RequestMemory {
  const reading = new Set<Holder>();
  let heldBytes = 0;

  function tryGetLargest(): Holder | undefined {
    let largest: Holder | undefined;
    for (const each of reading) {
      const isSmall = each.bytes <= MAX_SMALL_BODY_BYTES;
      if (!isSmall && each.bytes > (largest?.bytes ?? 0)) largest = each;
    }
    return largest;
  }

  function release(holder: Holder): void {
    reading.delete(holder);
    heldBytes -= holder.bytes;
    holder.bytes = 0;
  }

  function makeRoom(): void {
    while (heldBytes > maxBytes) {
      const largest = tryGetLargest();
      if (largest === undefined) return;
      release(largest);
      largest.drop();
    }
  }

  return {
    hold(drop) {
      const holder: Holder = { drop, bytes: 0 };
      reading.add(holder);
      return {
        onRead(bytes) {
          holder.bytes += bytes;
          heldBytes += bytes;
          makeRoom();
        },
        onComplete: () => void reading.delete(holder),
        [Symbol.dispose]: () => release(holder),
      };
    },
  };
}
