/**
 * Notices when an upstream that runs a request sends nothing for too long, and
 * when it sends again. A silence ends nothing by itself: a sound upstream may
 * pause for a second or two and go on.
 *
 * @module
 */

import { type ReadAwareTimeout, startTimeout } from "../core/mod.ts";
import type { Silence } from "./types.ts";

/** The silences of one attempt. Disposal leaves the last state as it is. */
export interface SilenceWatch extends Disposable {
  /** Starts to wait for bytes, for `limitMs` each time. */
  start(phase: Silence["phase"], limitMs: number): void;
  /** Bytes of the upstream have arrived. */
  recordBytes(): void;
  /** Stops to wait, as this host doesn't read or nothing is owed. */
  stop(): void;
  /** The silence that lasts; `undefined` without one. */
  tryGetSilence(): Silence | undefined;
}

/**
 * Creates a watch that waits for nothing yet. `onChange` is called when a
 * silence begins or ends.
 */
export function createSilenceWatch(onChange: () => void): SilenceWatch {
  let timeout: ReadAwareTimeout | undefined;
  let awaited: Silence | undefined;
  let silence: Silence | undefined;

  function set(next: Silence | undefined): void {
    if (silence === next) return;
    silence = next;
    onChange();
  }

  function wait(): void {
    timeout?.[Symbol.dispose]();
    const { limitMs } = awaited!;
    timeout = startTimeout(limitMs, () => set(awaited));
  }

  function stop(): void {
    timeout?.[Symbol.dispose]();
    awaited = undefined;
    set(undefined);
  }

  return {
    start(phase, limitMs) {
      awaited = { phase, limitMs };
      wait();
      set(undefined);
    },
    recordBytes() {
      if (awaited === undefined) return;
      if (silence === undefined) timeout?.restart();
      else wait();
      set(undefined);
    },
    stop,
    tryGetSilence: () => silence,
    [Symbol.dispose]: () => timeout?.[Symbol.dispose](),
  };
}
