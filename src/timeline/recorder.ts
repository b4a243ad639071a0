/**
 * Keeps the newest events of this process in a ring buffer. The hosts have no
 * disk, so older events are lost; the size of the buffer bounds the memory
 * under any load.
 *
 * @module
 */

import type { HybridClock } from "../core/mod.ts";
import type { EventBody, TimelineEvent } from "./types.ts";

/** Records the events of one process. */
export interface Recorder {
  record(body: EventBody): void;
  /** Events after the given timestamp, oldest first. */
  getSince(stamp: number): readonly TimelineEvent[];
}

/** A recorder that overwrites its oldest events when it is full. */
export interface RingRecorder extends Recorder {
  /** Timestamp of the newest overwritten event; 0 for none. */
  getNewestLostStamp(): number;
}

/** Dependencies of the recorder that the process provides. */
export interface RecorderHost {
  readonly id: string;
  readonly hybridClock: HybridClock;
  /** Called with each event, to count it in metrics. */
  onEvent?(event: TimelineEvent): void;
}

/** Makes a recorder; `capacity` is the number of events that it keeps. */
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
