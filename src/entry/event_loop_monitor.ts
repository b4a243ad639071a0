/**
 * Measures event-loop iterations ("turns"), to detect that this process can't
 * keep up with its callers.
 *
 * Load: a team that sends far more than its share uses one connection pool and
 * therefore one host. A host with an eighth of a core processes some 15
 * requests per second and received 200. Failure prevented: each iteration reads
 * everything that has arrived meanwhile and so takes longer than the one
 * before. Requests were read 5 s after their arrival and sent on after their
 * callers had disconnected, while callers of other teams could not connect.
 * Therefore requests that are read late in a long iteration are refused without
 * being run and their connections are closed. The caller reconnects, to another
 * host if it uses several.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";

/** Measures the iterations of the event loop. */
export interface EventLoopMonitor {
  /** Called by a timer once per period. */
  tick(): void;
  /**
   * Whether the current iteration is so long that new requests can't be served
   * in time.
   */
  isOverloaded(): boolean;
  /** How long the current iteration has taken beyond the period, in ms. */
  getTurnOverrunMs(): number;
  /**
   * How long a request that is read now may have waited unread in the socket,
   * in ms.
   */
  getUnreadMs(): number;
  /**
   * The same, but also for what is read in the iterations right after a stall,
   * and for a machine that was suspended, whose monotonic clock stood still: time
   * since the stall began, in ms. A step of the wall clock counts as a stall.
   */
  getStalledMs(): number;
}

/**
 * Maximum length of an iteration beyond the timer's period, in ms. It is a
 * quarter of the targets for prompts, and twice the pause of a process that has
 * used up its share of a core in a 100 ms period.
 */
const MAX_TURN_MS = 200;

/** Time between two ticks beyond the period that counts as a stall, in ms. */
const MIN_STALL_MS = 200;

/** Time after a stall in which all is read that arrived during it, in ms. */
const CATCH_UP_MS = 200;

/** Creates a monitor for a timer with the given period, in ms. */
export function createEventLoopMonitor(
  clock: Clock,
  periodMs: number,
): EventLoopMonitor {
  let turnStartMs = clock.monotonicMs();
  let previousTurnStartMs = turnStartMs;

  let tickWallMs = clock.wallMs();
  /** The last stall: its end in monotonic ms, and how long it lasted. */
  let stallEndMs = -Infinity;
  let stallMs = 0;

  function recordStall(nowMs: number): void {
    const wallMs = clock.wallMs();
    const sinceTickMs = Math.max(nowMs - turnStartMs, wallMs - tickWallMs);
    tickWallMs = wallMs;
    if (sinceTickMs < periodMs + MIN_STALL_MS) return;
    stallEndMs = nowMs;
    stallMs = sinceTickMs;
  }

  const getTurnOverrunMs = () =>
    Math.max(0, clock.monotonicMs() - turnStartMs - periodMs);

  // Input that arrived during the previous iteration is read in the current
  // one.
  const getUnreadMs = () =>
    Math.max(0, clock.monotonicMs() - previousTurnStartMs - 2 * periodMs);

  return {
    getTurnOverrunMs,
    tick() {
      const nowMs = clock.monotonicMs();
      recordStall(nowMs);
      previousTurnStartMs = turnStartMs;
      turnStartMs = nowMs;
    },
    isOverloaded: () => getTurnOverrunMs() > MAX_TURN_MS,
    getUnreadMs,
    getStalledMs() {
      const sinceMs = clock.monotonicMs() - stallEndMs;
      const unreadMs = getUnreadMs();
      return sinceMs > CATCH_UP_MS
        ? unreadMs
        : Math.max(unreadMs, sinceMs + stallMs);
    },
  };
}
