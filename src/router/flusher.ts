/**
 * Flushes control messages to other hosts shortly after there are any.
 *
 * Load: a host that is idle most of the time, which is the usual case. Failure
 * prevented: a timer that fires every 5 ms takes more of a core than all
 * control work of the host.
 *
 * @module
 */

import type { SlotClient } from "../slots/mod.ts";

/** Schedules flushes on demand. */
export interface Flusher extends Disposable {
  /** Schedules a flush; later messages within the delay are sent with it. */
  scheduleFlush(): void;
}

/** Dependencies of the flusher, supplied by the process. */
export interface FlusherHost {
  flush(): void;
  /**
   * While requests wait, flushing continues, to ask further owners for slots.
   */
  hasWaitingRequests(): boolean;
}

/** Creates a flusher that waits `delayMs` to batch messages. */
export function createFlusher(host: FlusherHost, delayMs: number): Flusher {
  let timer: ReturnType<typeof setTimeout> | undefined;

  function run(): void {
    timer = undefined;
    host.flush();
    if (host.hasWaitingRequests()) scheduleFlush();
  }

  function scheduleFlush(): void {
    timer ??= setTimeout(run, delayMs);
  }

  return {
    scheduleFlush,
    [Symbol.dispose]() {
      clearTimeout(timer);
      timer = undefined;
    },
  };
}

/** Wraps the slots to schedule a flush after calls that may queue messages. */
export function createFlushingSlots(
  slots: SlotClient,
  scheduleFlush: () => void,
): SlotClient {
  return {
    ...slots,
    acquire(req, start) {
      slots.acquire(req, (slot) =>
        start({
          ...slot,
          release(end) {
            slot.release(end);
            scheduleFlush();
          },
        }));
      scheduleFlush();
    },
    cancel(req) {
      scheduleFlush();
      return slots.cancel(req);
    },
  };
}
