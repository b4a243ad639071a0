/**
 * Queue of updates that wait to be gossiped. Updates are piggybacked on
 * datagrams that are sent anyway. Each is sent a limited number of times, those
 * with the fewest sends first.
 *
 * Load: a region is cut off, and half of all members change state at once.
 *
 * Failure prevented: a datagram larger than one packet is fragmented, and the
 * loss of one fragment loses all of it. Without a limit on sends, old updates
 * would circulate for ever.
 *
 * @module
 */

/** Queue of updates, identified by their keys. */
export interface GossipQueue {
  /** Queues the update; replaces an older one with the same key. */
  enqueue(key: string): void;
  remove(key: string): void;
  /**
   * Takes the keys to send in the next datagram: as many as fit into
   * `maxBytes`. `getBytes` returns the encoded size of an update; 0 means that
   * the update no longer exists, and drops it from the queue.
   */
  take(maxBytes: number, getBytes: (key: string) => number): readonly string[];
  getCount(): number;
}

/**
 * Creates an empty queue. An update is dropped after `getSendLimit()` sends.
 */
export function createGossipQueue(getSendLimit: () => number): GossipQueue {
  const sendCounts = new Map<string, number>();

  function sortBySendCount(): readonly [string, number][] {
    return [...sendCounts].sort((a, b) => a[1] - b[1]);
  }

  function recordSend(key: string, sent: number): void {
    if (sent + 1 >= getSendLimit()) sendCounts.delete(key);
    else sendCounts.set(key, sent + 1);
  }

  return {
    enqueue(key) {
      // Inserted again, so that it comes after other updates with as few sends.
      sendCounts.delete(key);
      sendCounts.set(key, 0);
    },
    remove: (key) => void sendCounts.delete(key),
    take(maxBytes, getBytes) {
      if (sendCounts.size === 0) return [];
      const taken: string[] = [];
      let leftBytes = maxBytes;
      for (const [key, sent] of sortBySendCount()) {
        const bytes = getBytes(key);
        if (bytes === 0) sendCounts.delete(key);
        if (bytes === 0 || bytes > leftBytes) continue;
        leftBytes -= bytes;
        taken.push(key);
        recordSend(key, sent);
      }
      return taken;
    },
    getCount: () => sendCounts.size,
  };
}
