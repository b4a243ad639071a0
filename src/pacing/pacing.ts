/**
 * The limit of what an upstream of a service may have to read at once: no more
 * than lets first events come in time, and no more than lets the answers beside
 * go on in time.
 *
 * All hosts learn from what all have seen: the room at an upstream is common to
 * them, and where their limits differ the host with the widest takes all of it,
 * and the teams whose callers use another get nothing.
 *
 * Load: heavy days of deployments whose engines, targets and prompts differ. Each
 * has its own best limit, and one that is learned comes near it on all
 * (docs/design/decisions.md).
 *
 * @module
 */

import { createFirstEventModel } from "./first_event_model.ts";
import { createPauseLimit } from "./pause_limit.ts";
import type { PacingStats } from "./types.ts";

/** What has been seen of a service, and the limit that follows. */
export interface Pacing {
  /** A first event came so long after the prompt was sent. */
  recordFirstEvent(readingTokens: number, tookMs: number): void;
  /** An answer has paused past its target, or gone on for a while without. */
  recordPause(isLate: boolean): void;
  /**
   * Tokens that an upstream may have to read at once, where the tightest target
   * of the service's first events is so long, in ms.
   */
  getLimitTokens(targetMs: number): number;
  /** What this host has seen, for the others. */
  getStats(): PacingStats;
}

/** What pacing needs of the process. */
export interface PacingHost {
  nowMs(): number;
  /** What the other hosts have seen of the service. */
  getRemoteStats(): PacingStats;
  /** The limit is another than when it was last told. */
  onChanged(change: PacingChange): void;
}

/** A limit with what it was found from. */
export interface PacingChange {
  readonly limitTokens: number;
  /** Tokens that are read within the service's target. */
  readonly inTimeTokens: number;
  /** Share of answers that paused past their target. */
  readonly lateShare: number;
}

/** A change of the limit by this factor is told; smaller ones come twice a second. */
const REPORT_FACTOR = 1.25;

/**
 * The share of the target in which a first event is expected behind a full
 * upstream. The rest is for the wait here and for what hosts send in the tenth
 * of a second before they know of each other.
 */
const TARGET_SHARE = 0.75;

/** Makes the pacing of a service of which nothing has been seen. */
export function createPacing(host: PacingHost): Pacing {
  const { nowMs, getRemoteStats } = host;
  const firstEvents = createFirstEventModel({
    nowMs,
    getRemoteSums: () => getRemoteStats().firstEvents,
  });
  const pauses = createPauseLimit({ nowMs, getRemoteStats });
  let reportedTokens = 0;

  function reportChange(limitTokens: number, inTimeTokens: number): void {
    const ratio = limitTokens / reportedTokens;
    if (ratio < REPORT_FACTOR && ratio > 1 / REPORT_FACTOR) return;
    reportedTokens = limitTokens;
    const lateShare = pauses.getLateShare();
    host.onChanged({ limitTokens, inTimeTokens, lateShare });
  }

  return {
    recordFirstEvent: firstEvents.addSample,
    recordPause: pauses.addSample,
    getStats: () => ({
      ...pauses.getLocalStats(),
      firstEvents: firstEvents.getLocalSums(),
    }),
    getLimitTokens(targetMs) {
      const inTimeTokens = firstEvents.getTokensWithin(targetMs * TARGET_SHARE);
      const limitTokens = pauses.getLimitTokens(inTimeTokens);
      reportChange(limitTokens, inTimeTokens);
      return limitTokens;
    },
  };
}
