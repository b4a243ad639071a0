/**
 * Gives a host that has just started, or was stopped for a while, all that
 * another host knows: gossip only carries changes, and those are over.
 *
 * @module
 */

/** Who asks for all, and who is being told. */
export interface Sync {
  /** This host asks the next hosts that it meets. */
  restart(): void;
  isNeeded(): boolean;
  /** A host has answered a probe. */
  recordContact(host: string): void;
  /** The host at the address gets everything under these keys. */
  enqueue(address: string, keys: readonly string[]): void;
  /** What to send in this period, each chunk in one datagram. */
  takeChunks(
    options: { readonly maxPayloadBytes: number },
    getBytes: (key: string) => number,
  ): readonly { readonly address: string; readonly keys: readonly string[] }[];
}

/** Two hosts are asked, in case one has just started itself. */
const SYNC_SOURCES = 2;

/**
 * Datagrams to one asking host in a period. 390 entries take about 30 of them,
 * so a new host knows all within 8 s and no one sends it more than 5 KB/s.
 */
const CHUNKS_PER_PERIOD = 2;

/** Hosts that are told at the same time; others ask again or ask another. */
const MAX_RECEIVERS = 4;

/** Makes the state of a host that has just started: it asks. */
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
