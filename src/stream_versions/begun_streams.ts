/**
 * Remembers for a while at which software version streams began.
 *
 * Load: hundreds of streams a second, of which hardly any is taken up. Failure
 * prevented: a memory that grows with the streams, or that forgets the newest
 * in favour of the oldest.
 *
 * @module
 */

import { type Clock, dropOldest } from "../core/mod.ts";
import { MEMORY_MS } from "./types.ts";

/** Limit on the remembered streams; the oldest is forgotten. */
const MAX_STREAMS = 5_000;

/** A stream and the version at which it began. */
export interface BegunStream {
  /** Digest of the request that brought the first event. */
  readonly digest: string;
  /** Digest of the service. */
  readonly service: string;
  readonly version: string;
}

/** The remembered streams. */
export interface BegunStreams {
  record(stream: BegunStream): void;
  tryGet(digest: string): BegunStream | undefined;
  getAll(service: string): readonly BegunStream[];
  /** Forgets the streams that are too old. */
  expire(): void;
}

/** Creates an empty memory. */
export function createBegunStreams(clock: Clock): BegunStreams {
  // In order of their times: a stream that is recorded again moves to the end.
  const streams = new Map<string, { stream: BegunStream; atMs: number }>();

  function expire(): void {
    const sinceMs = clock.monotonicMs() - MEMORY_MS;
    for (const [digest, { atMs }] of streams) {
      if (atMs >= sinceMs) return;
      streams.delete(digest);
    }
  }

  return {
    record(stream) {
      streams.delete(stream.digest);
      streams.set(stream.digest, { stream, atMs: clock.monotonicMs() });
      dropOldest(streams, MAX_STREAMS);
    },
    tryGet(digest) {
      expire();
      return streams.get(digest)?.stream;
    },
    getAll(service) {
      expire();
      return [...streams.values()].map((each) => each.stream)
        .filter((each) => each.service === service);
    },
    expire,
  };
}
