/**
 * Remembers when this host last saw a content run to a good end. Content that
 * crashes each upstream never does.
 *
 * @module
 */

import { type Clock, dropOldest } from "../core/mod.ts";
import type { CrashEvent } from "./types.ts";

/** The contents that ran well. */
export interface RecentSuccesses {
  record(fingerprint: string): void;
  /** Whether the content ran well after the event, or shortly before it. */
  refutes(event: CrashEvent): boolean;
}

/**
 * A success within this time before a crash refutes it too, in ms. Upstreams
 * may fall within a second of each other, which leaves a popular content no
 * time to run well between them. Also covers the difference between two hosts'
 * wall clocks.
 */
const REFUTES_BEFORE_MS = 10_000;

/** Limit on the remembered contents; the one that ran first is evicted. */
const MAX_CONTENTS = 4_000;

/** Creates an empty memory. */
export function createRecentSuccesses(clock: Clock): RecentSuccesses {
  /** Wall-clock milliseconds, by fingerprint. */
  const endedMs = new Map<string, number>();
  return {
    record(fingerprint) {
      endedMs.delete(fingerprint);
      endedMs.set(fingerprint, clock.wallMs());
      dropOldest(endedMs, MAX_CONTENTS);
    },
    refutes: ({ subject, atMs }) =>
      (endedMs.get(subject) ?? -Infinity) > atMs - REFUTES_BEFORE_MS,
  };
}
