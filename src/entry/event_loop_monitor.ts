/**
 * How far this process is behind its callers.
 *
 * Load: a team that floods sends all its requests through one connection pool,
 * and so to one host; a host with an eighth of a core takes some fifteen requests
 * a second and got two hundred. Harm prevented: each turn of the event loop reads
 * all that has come meanwhile and so takes longer than the one before; requests
 * were read five seconds after they came, and sent on after their callers had
 * left, while callers of other teams found no place to connect to. So what is
 * read late in a long turn is refused, not run, and its connection closed: the
 * caller comes back on a new one, to another host if it uses several.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";

/** Measures the turns of the event loop. */
export interface EventLoopMonitor {
  /** Called by a timer, once in each period. */
  tick(): void;
  /** The present turn takes too long for anything new to be on time. */
  isOverloaded(): boolean;
  /** How long the present turn has taken beyond the period, in ms. */
  getTurnOverrunMs(): number;
  /** How long a request that is read now may have waited unread, in ms. */
  getUnreadMs(): number;
}

/**
 * A turn may take so long, in ms: a quarter of the targets of prompts, and twice
 * the pause of a process whose share of a core is used up in a tenth of a second.
 */
const MAX_TURN_MS = 200;

/** Makes a watch for a timer of the period given, in ms. */
export function createEventLoopMonitor(
  clock: Clock,
  periodMs: number,
): EventLoopMonitor {
  let turnStartMs = clock.monotonicMs();
  let previousTurnStartMs = turnStartMs;

  const getTurnOverrunMs = () =>
    Math.max(0, clock.monotonicMs() - turnStartMs - periodMs);

  return {
    getTurnOverrunMs,
    tick() {
      previousTurnStartMs = turnStartMs;
      turnStartMs = clock.monotonicMs();
    },
    isOverloaded: () => getTurnOverrunMs() > MAX_TURN_MS,
    // What came during the turn before is read in this one.
    getUnreadMs: () =>
      Math.max(0, clock.monotonicMs() - previousTurnStartMs - 2 * periodMs),
  };
}
