/**
 * Flushes what is to be sent to other hosts, soon after there is something.
 *
 * Load: an idle or half idle host, which is the usual one. Harm prevented: a
 * timer that fires each 5 ms takes more of a core than all of the control that a
 * host has to do.
 *
 * @module
 */

import type { SlotClient } from "../slots/mod.ts";

/** Flushes on demand. */
export interface Flusher extends Disposable {
  /** Something may have to be sent; what follows soon goes with it. */
  scheduleFlush(): void;
}

/** What the flusher needs of the process. */
export interface FlusherHost {
  flush(): void;
  /** While requests wait, more hosts are asked as time goes by. */
  hasWaitingRequests(): boolean;
}

/** Makes a flusher that waits so many ms for more to send together. */
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

/** The slots, with a kick after each act that may have to be told. */
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
