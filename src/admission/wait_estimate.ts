/**
 * Expected wait of a team's next request at this host for one service: how many
 * of its requests stand before it, times the time between two starts while the
 * team was backlogged.
 *
 * Load: slots come back in bursts (a batch of answers ends together), and a
 * team pauses between its bursts. Harm prevented: a pause of the callers taken
 * for a slow fleet, so that the first requests after it are refused although
 * slots are free; and a stalled fleet taken for a quick one, because nothing
 * starts and so nothing is learned.
 *
 * @module
 */

/**
 * Past starts fade over so long. A team starts about one request a second at a
 * host; a mean of five gaps would err by half, one of twenty errs by a quarter.
 */
const DECAY_TIME_MS = 20_000;

/**
 * A start sooner than this found a free slot: longer than a grant takes between
 * two data centres of a region (two round trips of 3 ms), shorter than any wait
 * that a caller would notice.
 */
const FREE_SLOT_WAIT_MS = 50;

/** The pace at which one team's requests start. */
export interface WaitEstimator {
  /** A request begins to wait. */
  recordEnqueued(nowMs: number): void;
  /** A request leaves the queue, after so long, with a slot or without. */
  recordDequeued(
    exit: "started" | "gave-up",
    waitedMs: number,
    nowMs: number,
  ): void;
  /** Milliseconds until a slot for a request behind so many others. */
  getWaitMs(ahead: number, nowMs: number): number;
}

/** Makes a pace that knows nothing and expects no wait. */
export function createWaitEstimator(): WaitEstimator {
  let waiting = 0;
  let updatedMs = 0;
  // Both fade alike, so that their quotient is the mean gap of late.
  let starts = 0;
  let backloggedMs = 0;
  let noStartSinceMs = 0;

  function advance(nowMs: number): void {
    const decay = Math.exp(-(nowMs - updatedMs) / DECAY_TIME_MS);
    starts *= decay;
    backloggedMs *= decay;
    // Only time with a backlog says anything about the fleet.
    if (waiting > 0) backloggedMs += DECAY_TIME_MS * (1 - decay);
    updatedMs = nowMs;
  }

  return {
    recordEnqueued(nowMs) {
      advance(nowMs);
      if (waiting === 0) noStartSinceMs = nowMs;
      waiting++;
    },
    recordDequeued(exit, waitedMs, nowMs) {
      advance(nowMs);
      waiting--;
      if (exit === "gave-up") return;
      noStartSinceMs = nowMs;
      if (waitedMs < FREE_SLOT_WAIT_MS) {
        // The queue is first in, first out: this start shows that all before it
        // are gone and a slot was free, so what was learned before is void.
        starts = 0;
        backloggedMs = 0;
      } else {
        starts++;
      }
    },
    getWaitMs(ahead, nowMs) {
      if (waiting === 0) return 0;
      advance(nowMs);
      // While nothing starts, the silence itself is the best guess of the gap.
      const sinceStartMs = nowMs - noStartSinceMs;
      const gapMs = starts > 0 ? backloggedMs / starts : 0;
      return Math.max(
        gapMs * ahead,
        sinceStartMs < FREE_SLOT_WAIT_MS ? 0 : sinceStartMs,
      );
    },
  };
}
