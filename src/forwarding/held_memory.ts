/**
 * Bounds the bytes that a host holds together for things of one kind: responses
 * that are being received or wait for callers that read slowly, or the bodies of
 * requests.
 *
 * Load: several upstreams send bytes without end at the same time, each below
 * the limit of a single response, or callers do not read large responses; many
 * callers send bodies of the largest size that is allowed.
 *
 * Failure prevented: the process exceeds the memory of its host and is killed,
 * with all requests that it serves. When there is no more room, the holder that
 * holds the most is dropped: it alone is out of the ordinary, and the next to
 * arrive is as likely as not a small one that would leave nothing free.
 *
 * @module
 */

/** Something of which the host holds bytes. */
export interface MemoryHolder {
  /** Returns the bytes that it holds now. */
  getHeldBytes(): number;
  /** Whether it may be dropped now; always, if absent. */
  mayDrop?(): boolean;
  /** Drops the bytes, since there is no room and it holds the most. */
  drop(): void;
}

/** A holder that counts. Disposal ends the count. */
export interface HeldBytes extends Disposable {
  /** To be called when so many bytes more are held than before. */
  onGrown(bytes: number): void;
}

/** The memory of one host for things of one kind. */
export interface HeldMemory {
  /** Starts to count what is held. */
  hold(holder: MemoryHolder): HeldBytes;
  /** Counts what is held now, in bytes. */
  countBytes(): number;
  /** Whether twice as much is held as may be, since nothing could be dropped. */
  isCrowded(): boolean;
}

/**
 * The share of a host's memory that responses may take, and request bodies as
 * well. The smallest hosts have 250 MB, of which the process itself takes up to
 * half.
 */
const HELD_SHARE = 1 / 8;

/** Factor by which what can't be dropped may exceed the bound. */
const CROWDED_FACTOR = 2;

/**
 * Returns the bytes that the responses of a host with this memory may take, or
 * the bodies of its requests.
 */
export function getMaxHeldBytes(hostMemoryBytes: number): number {
  return hostMemoryBytes * HELD_SHARE;
}

/** Creates the memory, which holds nothing yet. */
export function createHeldMemory(maxBytes: number): HeldMemory {
  const holders = new Set<MemoryHolder>();
  /** What was held at the last count, and all that was added since. */
  let mostBytes = 0;

  function countBytes(): number {
    let bytes = 0;
    for (const holder of holders) bytes += holder.getHeldBytes();
    return bytes;
  }

  function tryGetLargest(): MemoryHolder | undefined {
    let largest: MemoryHolder | undefined;
    let largestBytes = 0;
    for (const each of holders) {
      const bytes = each.getHeldBytes();
      if (bytes <= largestBytes || each.mayDrop?.() === false) continue;
      largest = each;
      largestBytes = bytes;
    }
    return largest;
  }

  function makeRoom(): void {
    mostBytes = countBytes();
    while (mostBytes > maxBytes) {
      const largest = tryGetLargest();
      if (largest === undefined) return;
      holders.delete(largest);
      largest.drop();
      mostBytes = countBytes();
    }
  }

  return {
    countBytes,
    isCrowded: () => mostBytes > CROWDED_FACTOR * maxBytes,
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
