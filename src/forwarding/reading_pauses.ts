/**
 * Tells for how long the end of a response may have waited unread, because the
 * reading of its connection was paused.
 *
 * Load: a caller that reads slowly, so that its relay pauses again and again. The
 * end lies behind all that waits in the connection, so that it may have arrived
 * when the first of several pauses in a row began.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import { systemClock } from "../core/mod.ts";

/** Time without a pause in which all is read that has arrived, in ms. */
const CATCH_UP_MS = 200;

/** The pauses of one response. */
export interface ReadingPauses {
  /** Time since the pauses began of which the last has just ended, or 0, in ms. */
  getPausedMs(): number;
}

/** Starts to watch. To be called before the response is read. */
export function watchReadingPauses(
  res: IncomingMessage,
  clock = systemClock,
): ReadingPauses {
  /** When the first of the latest pauses in a row began; Infinity before any. */
  let sinceMs = Infinity;
  /** When the last pause ended; Infinity while there is one. */
  let resumedMs = Infinity;

  function hasCaughtUp(): boolean {
    return clock.monotonicMs() - resumedMs >= CATCH_UP_MS;
  }

  res.on("pause", () => {
    if (sinceMs === Infinity || hasCaughtUp()) sinceMs = clock.monotonicMs();
    resumedMs = Infinity;
  });
  res.on("resume", () => resumedMs = clock.monotonicMs());
  return {
    getPausedMs: () =>
      hasCaughtUp() ? 0 : Math.max(0, clock.monotonicMs() - sinceMs),
  };
}
