/**
 * Records for how long the upstream of one attempt has been silent, and whether
 * this host has closed the attempt: for the log, and to tell when a caller is
 * about to abandon its stream.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { LoggedSilence } from "../diagnostics/mod.ts";
import type { Silence } from "./types.ts";

/** The record of one attempt, written by those who handle it. */
export interface AttemptTrace {
  /**
   * Starts the silence anew: the upstream is waited for from now on, since the
   * attempt has reached its next phase, a part of the response was read, or
   * reading goes on after a pause.
   */
  onWaiting(): void;
  /** This host closes the attempt before the end of its response. */
  onAborted(): void;
  getSilentMs(): number;
  toLog(silence: Silence): LoggedSilence;
}

/** Starts the record of an attempt. */
export function createAttemptTrace(clock: Clock): AttemptTrace {
  let silentSinceMs = clock.monotonicMs();
  let isAborted = false;

  function getSilentMs(): number {
    return Math.round(clock.monotonicMs() - silentSinceMs);
  }

  return {
    onWaiting: () => void (silentSinceMs = clock.monotonicMs()),
    onAborted: () => void (isAborted = true),
    getSilentMs,
    toLog: ({ phase, limitMs }) => ({
      phase,
      silentMs: getSilentMs(),
      limitMs: Math.round(limitMs),
      isAborted,
    }),
  };
}
