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
  kick(): void;
}

/** What the flusher needs of the process. */
export interface FlusherHost {
  flush(): void;
  /** While requests wait, more hosts are asked as time goes by. */
  hasWaiting(): boolean;
}

/** Makes a flusher that waits so many ms for more to send together. */
export function createFlusher(host: FlusherHost, pauseMs: number): Flusher {
  let timer: ReturnType<typeof setTimeout> | undefined;

  function run(): void {
    timer = undefined;
    host.flush();
    if (host.hasWaiting()) kick();
  }

  function kick(): void {
    timer ??= setTimeout(run, pauseMs);
  }

  return {
    kick,
    [Symbol.dispose]() {
      clearTimeout(timer);
      timer = undefined;
    },
  };
}

/** The slots, with a kick after each act that may have to be told. */
export function createFlushedSlots(
  slots: SlotClient,
  kick: () => void,
): SlotClient {
  return {
    ...slots,
    acquire(req, start) {
      slots.acquire(req, (slot) =>
        start({
          ...slot,
          release(end) {
            slot.release(end);
            kick();
          },
        }));
      kick();
    },
    cancel(req) {
      kick();
      return slots.cancel(req);
    },
  };
}
