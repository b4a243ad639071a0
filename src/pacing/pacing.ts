/**
 * Adapts the limit on the tokens that an upstream of a service may have to
 * prefill at once. It is low enough that first events are on time and that the
 * responses running beside them are not interrupted for too long.
 *
 * Every host learns from the samples of all hosts, because they share the
 * capacity of an upstream: if limits differed, the host with the highest limit
 * would take the whole capacity, and teams whose callers use other hosts would
 * get nothing.
 *
 * Load: heavy days of deployments that differ in engines, targets and prompts.
 * Each has a different optimal limit, and the learned limit comes close to it
 * in all of them (docs/design/decisions.md).
 *
 * @module
 */

import { createFirstEventModel } from "./first_event_model.ts";
import { createPauseLimit } from "./pause_limit.ts";
import type { PacingStats } from "./types.ts";

/** Records samples from which limits are learned. */
export interface PacingRecorder {
  /**
   * Records a first event that arrived `tookMs` after its prompt was sent, with
   * `prefillTokens` to prefill before it.
   */
  recordFirstEvent(prefillTokens: number, tookMs: number): void;
  /**
   * Records a response that paused for longer than its target (`isLate`), or
   * that ran for a sample period without such a pause.
   */
  recordPause(isLate: boolean): void;
}

/** The adaptive prefill limit of one service. */
export interface Pacing extends PacingRecorder {
  /** Predicts the time to a first event, in ms; see `FirstEventModel`. */
  predictMs(prefillTokens: number): number;
  /**
   * Returns the tokens that an upstream of mean speed prefills early enough for
   * a first event within `targetMs`.
   */
  getInTimeTokens(targetMs: number): number;
  /**
   * Returns the limit, in tokens. `targetMs` is the shortest target of the
   * service for the time to the first event.
   */
  getLimitTokens(targetMs: number): number;
  /** Returns the learned time to prefill a token at an upstream, in ms. */
  getMsPerToken(): number;
  /** Returns the statistics of this host, for the other hosts. */
  getStats(): PacingStats;
}

/** Dependencies of pacing, supplied by the process. */
export interface PacingHost {
  nowMs(): number;
  /** Returns the statistics of all other hosts for the service. */
  getRemoteStats(): PacingStats;
  /** Called when the limit has changed noticeably since the last report. */
  onChanged(change: PacingChange): void;
}

/** A limit and the values from which it was computed. */
export interface PacingChange {
  readonly limitTokens: number;
  /** Tokens that can be prefilled within the service's target. */
  readonly inTimeTokens: number;
  /** Share of responses that paused for longer than their target. */
  readonly lateShare: number;
}

/**
 * Changes of the limit by at least this factor are reported; smaller ones occur
 * twice a second.
 */
const REPORT_FACTOR = 1.25;

/**
 * Share of the target within which a first event is expected at an upstream
 * whose limit is used up. The rest covers the wait in the queue, and prompts
 * that other hosts send in the tenth of a second before the hosts see each
 * other's load.
 */
const TARGET_SHARE = 0.75;

/** Creates the pacing of a service without samples. */
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

  function getInTimeTokens(targetMs: number): number {
    return firstEvents.getTokensWithin(targetMs * TARGET_SHARE);
  }

  return {
    recordFirstEvent: firstEvents.addSample,
    recordPause: pauses.addSample,
    getMsPerToken: firstEvents.getMsPerToken,
    predictMs: firstEvents.predictMs,
    getInTimeTokens,
    getStats: () => ({
      ...pauses.getLocalStats(),
      firstEvents: firstEvents.getLocalSums(),
    }),
    getLimitTokens(targetMs) {
      const inTimeTokens = getInTimeTokens(targetMs);
      const limitTokens = pauses.getLimitTokens(inTimeTokens);
      reportChange(limitTokens, inTimeTokens);
      return limitTokens;
    },
  };
}
