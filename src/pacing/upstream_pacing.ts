/**
 * Adapts the limit on the tokens that one upstream may have to prefill at once,
 * and its weight in the ranking of prompts, to its own speed.
 *
 * Load: a service of which some upstreams pause many of their responses for too
 * long, and the others almost none.
 *
 * Failure prevented: the slow upstreams reduce the limit of their service to its
 * minimum, and the fast ones are partly idle.
 *
 * Hosts learn together, as for a service (`pacing.ts`): alone, a host has less
 * than one sample per upstream and second.
 *
 * @module
 */

import { createPauseLimit, MIN_TOKENS } from "./pause_limit.ts";
import type { PacingChange } from "./pacing.ts";
import { createSpeedSamples, getRelativeSpeed } from "./relative_speed.ts";
import {
  addUpstreamStats,
  hasSamples,
  type UpstreamStats,
} from "./upstream_stats.ts";
import { createWeightStep } from "./weight_step.ts";

/** The adaptive prefill limit and the weight of one upstream. */
export interface UpstreamPacing {
  /** Records a first event; see `SpeedSamples`. */
  recordFirstEvent(predictedMs: number, tookMs: number): void;
  /** Records a response; see `PacingRecorder`. */
  recordPause(isLate: boolean): void;
  /** Whether any host has recent samples. */
  hasSamples(): boolean;
  /** Returns the limit, in tokens, for a prompt with this target in ms. */
  getLimitTokens(targetMs: number): number;
  /**
   * Returns the limit for the longest target for which it was asked recently.
   */
  getHighestLimitTokens(): number;
  getWeight(): number;
  /** Returns the prefill speed relative to the mean of the service. */
  getSpeed(): number;
  /** Moves limit and weight; called once in each period of the exchange. */
  update(): void;
  /** Returns the statistics of this host, for the other hosts. */
  getStats(): UpstreamStats;
}

/** Dependencies, supplied by the process. */
export interface UpstreamPacingHost {
  nowMs(): number;
  /** The service's limit, in tokens, at which this one starts. */
  readonly initialTokens: number;
  /**
   * Returns the tokens that an upstream of mean speed prefills early enough for
   * a first event within `targetMs`.
   */
  getInTimeTokens(targetMs: number): number;
  /** Returns the statistics of all other hosts for the upstream. */
  getRemoteStats(): UpstreamStats;
  /** Called when the limit has changed noticeably since the last report. */
  onLimitChanged(change: PacingChange): void;
  onWeightChanged(change: WeightChange): void;
}

/** A weight and the values from which it was chosen. */
export interface WeightChange {
  readonly weight: number;
  readonly speed: number;
  /** Number of first events of all hosts, decayed. */
  readonly samples: number;
}

/**
 * Least time between two adjustments of the limit, in ms. The samples of the
 * other hosts arrive once per second; with twice as many adjustments, two of
 * them would react to the same late responses.
 */
const ADJUST_PERIOD_MS = 1_000;

/**
 * The longest target that prompts had within this time, in ms, bounds the limit
 * by pauses. Without a bound it would increase for as long as no response is
 * late.
 */
const TARGET_RETENTION_MS = 10_000;

/**
 * Changes of the limit by at least this factor are reported. Each host reports
 * the limits of all upstreams.
 */
const REPORT_FACTOR = 2;

/** Creates the pacing of an upstream without samples. */
export function createUpstreamPacing(host: UpstreamPacingHost): UpstreamPacing {
  const { nowMs } = host;
  const pauses = createPauseLimit(
    { nowMs, getRemoteStats: host.getRemoteStats },
    {
      initialTokens: host.initialTokens,
      adjustPeriodMs: ADJUST_PERIOD_MS,
      keepsCeiling: false,
    },
  );
  const speeds = createSpeedSamples(nowMs);
  const weight = createWeightStep(nowMs);
  let longestTarget = { ms: 0, askedAtMs: -Infinity };
  let reportedTokens = 0;
  let speed = 1;

  function getStats(): UpstreamStats {
    const { limitTokens, answers, lateAnswers } = pauses.getLocalStats();
    const { firstEvents, predictedMs, tookMs } = speeds.get();
    return {
      limitTokens,
      answers,
      lateAnswers,
      firstEvents,
      predictedMs,
      tookMs,
      weightSteps: weight.getStep() * firstEvents,
    };
  }

  const getTotal = () => addUpstreamStats(getStats(), host.getRemoteStats());

  function getCeilingTokens(targetMs: number): number {
    return host.getInTimeTokens(targetMs) * speed;
  }

  function recordTarget(targetMs: number): void {
    const askedAtMs = nowMs();
    const isExpired = askedAtMs - longestTarget.askedAtMs > TARGET_RETENTION_MS;
    if (targetMs < longestTarget.ms && !isExpired) return;
    longestTarget = { ms: targetMs, askedAtMs };
  }

  /**
   * The limit by pauses is bounded by the longest target, not by that of the
   * prompt that happens to ask when it is adjusted.
   */
  function getPauseTokens(): number {
    return pauses.getLimitTokens(getCeilingTokens(longestTarget.ms));
  }

  function getLimitTokens(targetMs: number): number {
    const tokens = Math.min(getPauseTokens(), getCeilingTokens(targetMs));
    return Math.max(MIN_TOKENS, tokens);
  }

  function updateWeight({ firstEvents }: UpstreamStats): void {
    const { firstEvents: otherSamples, weightSteps } = host.getRemoteStats();
    const input = { speed, samples: firstEvents, otherSamples };
    if (!weight.update({ ...input, otherSteps: weightSteps })) return;
    host.onWeightChanged({
      weight: weight.getWeight(),
      speed,
      samples: firstEvents,
    });
  }

  function reportLimit(): void {
    const limitTokens = getLimitTokens(longestTarget.ms);
    const ratio = limitTokens / reportedTokens;
    if (ratio < REPORT_FACTOR && ratio > 1 / REPORT_FACTOR) return;
    reportedTokens = limitTokens;
    host.onLimitChanged({
      limitTokens,
      inTimeTokens: getCeilingTokens(longestTarget.ms),
      lateShare: pauses.getLateShare(),
    });
  }

  return {
    recordFirstEvent: speeds.add,
    recordPause: pauses.addSample,
    hasSamples: () => hasSamples(getTotal()),
    getLimitTokens(targetMs) {
      recordTarget(targetMs);
      return getLimitTokens(targetMs);
    },
    getHighestLimitTokens: () =>
      longestTarget.ms === 0
        ? host.initialTokens
        : getLimitTokens(longestTarget.ms),
    getWeight: weight.getWeight,
    getSpeed: () => speed,
    update() {
      const total = getTotal();
      speed = getRelativeSpeed(total);
      updateWeight(total);
      // Before the first prompt no target is known.
      if (longestTarget.ms > 0) reportLimit();
    },
    getStats,
  };
}
