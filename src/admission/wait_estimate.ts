/**
 * Estimates the wait of a team's next request for one service at this host: the
 * number of its requests ahead, times the mean time between two starts while
 * the team had requests waiting.
 *
 * Load: slots become free in bursts (a batch of answers ends together), and a
 * team sends in bursts with pauses between them. Harm prevented: a pause of the
 * callers is taken for a slow fleet, and the first requests after it are
 * refused although slots are free; or a stalled fleet is taken for a fast one,
 * because without starts there are no new measurements.
 *
 * @module
 */

/**
 * Time constant of the exponential decay of past starts. A team starts about
 * one request per second at a host: a mean of five gaps would have an error of
 * a half, a mean of twenty has an error of a quarter.
 */
const DECAY_TIME_MS = 20_000;

/**
 * A request that starts after a shorter wait is taken to have found a free
 * slot. The value is longer than a grant between two data centres of a region
 * takes (two round trips of 3 ms), and shorter than any wait that a caller
 * would notice.
 */
const FREE_SLOT_WAIT_MS = 50;

/** Estimator of the waits of one team's requests for one service. */
export interface WaitEstimator {
  /** Records that a request was added to the queue. */
  recordEnqueued(nowMs: number): void;
  /** Records that a request left the queue, with a slot or without. */
  recordDequeued(
    exit: "started" | "gave-up",
    waitedMs: number,
    nowMs: number,
  ): void;
  /** Expected wait for a slot behind the given number of requests, in ms. */
  getWaitMs(ahead: number, nowMs: number): number;
}

/** Creates an estimator without measurements, which expects no wait. */
export function createWaitEstimator(): WaitEstimator {
  let waiting = 0;
  let updatedMs = 0;
  // Both decay alike, so that their quotient is the recent mean gap.
  let starts = 0;
  let backloggedMs = 0;
  let noStartSinceMs = 0;

  function advance(nowMs: number): void {
    const decay = Math.exp(-(nowMs - updatedMs) / DECAY_TIME_MS);
    starts *= decay;
    backloggedMs *= decay;
    // Only time with waiting requests indicates how fast the fleet is.
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
        // The queue is first in, first out: a start without a wait shows that
        // no request was ahead and a slot was free, so older measurements are
        // void.
        starts = 0;
        backloggedMs = 0;
      } else {
        starts++;
      }
    },
    getWaitMs(ahead, nowMs) {
      if (waiting === 0) return 0;
      advance(nowMs);
      // While no request starts, the gap is at least the time since the last
      // start, or since the queue was empty.
      const sinceStartMs = nowMs - noStartSinceMs;
      const gapMs = starts > 0 ? backloggedMs / starts : 0;
      return Math.max(
        gapMs * ahead,
        sinceStartMs < FREE_SLOT_WAIT_MS ? 0 : sinceStartMs,
      );
    },
  };
}
