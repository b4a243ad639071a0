/**
 * Keeps the newest events of this process in memory. The hosts have no disk, so
 * the ring is all there is; its size bounds the memory whatever the load.
 *
 * @module
 */

import type { HybridClock } from "../core/mod.ts";
import type { EventBody, TimelineEvent } from "./types.ts";

/** Takes in the events of one process. */
export interface Recorder {
  record(body: EventBody): void;
  /** Events after the stamp given, oldest first. */
  getSince(stamp: number): readonly TimelineEvent[];
}

/** The recorder of a process, which loses its oldest events when it is full. */
export interface RingRecorder extends Recorder {
  /** Stamp of the newest event that the ring has lost; 0 for none. */
  getNewestLostStamp(): number;
}

/** What the recorder needs of the process. */
export interface RecorderHost {
  readonly id: string;
  readonly hybridClock: HybridClock;
  /** Tells metrics of each event. */
  onEvent?(event: TimelineEvent): void;
}

/** Makes a recorder that keeps the newest events up to the capacity. */
export function createRecorder(
  host: RecorderHost,
  capacity: number,
): RingRecorder {
  const ring: TimelineEvent[] = [];
  let nextIndex = 0;
  let newestLostStamp = 0;

  return {
    record(body) {
      const event = { ...body, at: host.hybridClock.tick(), host: host.id };
      newestLostStamp = ring[nextIndex]?.at ?? newestLostStamp;
      ring[nextIndex] = event;
      nextIndex = (nextIndex + 1) % capacity;
      host.onEvent?.(event);
    },
    getSince(stamp) {
      const ordered = [...ring.slice(nextIndex), ...ring.slice(0, nextIndex)];
      return ordered.filter((event) => event.at > stamp);
    },
    getNewestLostStamp: () => newestLostStamp,
  };
}
