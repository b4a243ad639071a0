/**
 * Full synchronisation of a host that has just started or was stopped for a
 * while. Gossip carries only recent changes, so such a host asks others for
 * their complete state.
 *
 * @module
 */

/**
 * Tracks whether this host still needs a full sync, and which hosts it sends
 * one to.
 */
export interface Sync {
  /** Makes this host ask the next hosts that it contacts for a full sync. */
  restart(): void;
  isNeeded(): boolean;
  /**
   * Records that a host has answered a probe, and so was asked for a full sync.
   */
  recordContact(host: string): void;
  /** Queues all keys for the host at this address. */
  enqueue(address: string, keys: readonly string[]): void;
  /** Takes the chunks to send in this period, one datagram each. */
  takeChunks(
    options: { readonly maxPayloadBytes: number },
    getBytes: (key: string) => number,
  ): readonly { readonly address: string; readonly keys: readonly string[] }[];
}

/**
 * Number of hosts asked for a full sync; two, in case one of them has just
 * started itself.
 */
const SYNC_SOURCES = 2;

/**
 * Datagrams sent to one receiver in a period. 390 entries take about 30
 * datagrams, so a new host knows all within 8 s, and no host sends it more than
 * 5 KB/s.
 */
const CHUNKS_PER_PERIOD = 2;

/**
 * Maximum number of receivers at a time. Further hosts repeat their request or
 * are answered by another host.
 */
const MAX_RECEIVERS = 4;

/** Creates the state of a host that has just started and needs a full sync. */
export function createSync(): Sync {
  const receivers = new Map<string, string[]>();
  const contacted = new Set<string>();

  return {
    restart: () => contacted.clear(),
    isNeeded: () => contacted.size < SYNC_SOURCES,
    recordContact: (host) => {
      if (contacted.size < SYNC_SOURCES) contacted.add(host);
    },
    enqueue(address, keys) {
      if (receivers.size >= MAX_RECEIVERS || receivers.has(address)) return;
      receivers.set(address, [...keys]);
    },
    takeChunks({ maxPayloadBytes }, getBytes) {
      const chunks: { address: string; keys: string[] }[] = [];
      for (const [address, keys] of receivers) {
        for (let each = 0; each < CHUNKS_PER_PERIOD; each++) {
          const chunk: string[] = [];
          let leftBytes = maxPayloadBytes;
          while (keys.length > 0 && getBytes(keys[0]!) <= leftBytes) {
            leftBytes -= getBytes(keys[0]!);
            chunk.push(keys.shift()!);
          }
          if (chunk.length > 0) chunks.push({ address, keys: chunk });
        }
        if (keys.length === 0) receivers.delete(address);
      }
      return chunks;
    },
  };
}
