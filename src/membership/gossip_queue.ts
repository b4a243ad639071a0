/**
 * What still has to be told to others: each item rides on datagrams that are
 * sent anyway, a limited number of times, those told least often first.
 *
 * Load: a region is cut off and half of all members change at once. Harm
 * prevented: datagrams over one packet, whose fragments are lost together, and
 * news that goes round for ever.
 *
 * @module
 */

/** Items to be told, by key. */
export interface GossipQueue {
  /** Tells the item from now on, instead of an older one of the key. */
  enqueue(key: string): void;
  remove(key: string): void;
  /**
   * Keys to send now: as many as fit in the bytes, by the size that `getBytes`
   * gives; 0 bytes mean that the item is gone.
   */
  take(maxBytes: number, getBytes: (key: string) => number): readonly string[];
  getCount(): number;
}

/** Makes an empty set; an item is told as often as `getSendLimit` says. */
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
      // Set anew, so that it goes behind others that were told as often.
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
