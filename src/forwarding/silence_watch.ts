/**
 * Notices when an upstream that runs a request brings nothing for too long, and
 * when it goes on. A silence ends nothing by itself: a sound upstream may pause
 * for a second or two and go on.
 *
 * @module
 */

import { type ReadAwareTimeout, startTimeout } from "../core/mod.ts";
import type { Silence } from "./types.ts";

/** The silences of one attempt. Disposal leaves the last state as it is. */
export interface SilenceWatch extends Disposable {
  /**
   * Waits for what the phase brings, for `limitMs` each time. A silence that
   * lasts goes on: a new phase alone brings the caller nothing.
   */
  enter(phase: Silence["phase"], limitMs: number): void;
  /** What was awaited has come; ends a silence, and waits anew. */
  restart(): void;
  /** Stops to wait, as this host doesn't read; ends a silence. */
  pause(): void;
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

  function wait({ limitMs }: Silence): void {
    timeout?.[Symbol.dispose]();
    timeout = startTimeout(limitMs, () => set(awaited));
  }

  return {
    enter(phase, limitMs) {
      awaited = { phase, limitMs };
      if (silence === undefined) wait(awaited);
    },
    restart() {
      if (awaited === undefined) return;
      if (silence === undefined) timeout?.restart();
      else wait(awaited);
      set(undefined);
    },
    pause() {
      timeout?.[Symbol.dispose]();
      set(undefined);
    },
    tryGetSilence: () => silence,
    [Symbol.dispose]: () => timeout?.[Symbol.dispose](),
  };
}
