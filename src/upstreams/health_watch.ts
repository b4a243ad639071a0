/**
 * Tracks the health of each upstream as seen by this host: requests in flight,
 * last activity and failures. Placement avoids unhealthy upstreams as long as
 * there are healthy ones.
 *
 * Load: an upstream crashes, stops responding, or fails half of its requests
 * while it reports itself as healthy.
 *
 * Failure prevented: request after request is sent there, since an upstream
 * that fails at once looks the least loaded of all.
 *
 * @module
 */

import { type Clock, getOrCreate } from "../core/mod.ts";
import {
  createHealthChanges,
  type HealthChange,
  type UnhealthyReason,
} from "./health_changes.ts";

/** Health of upstreams as observed by this host. */
export interface HealthWatch {
  beginRequest(upstream: string): void;
  endRequest(upstream: string): void;
  /** Records that bytes of a response have arrived. */
  recordActivity(upstream: string): void;
  recordSuccess(upstream: string): void;
  recordFailure(upstream: string, failure: FailureKind): void;
  getInFlight(upstream: string): number;
  /** Whether other upstreams should be preferred. */
  isUnhealthy(upstream: string): boolean;
  /** Returns the healthy upstreams, or all of them if none is healthy. */
  filterHealthy<T extends { readonly id: string }>(
    upstreams: readonly T[],
  ): readonly T[];
}

/** How an upstream failed. */
export type FailureKind = "unreachable" | "failed";

/**
 * Time for which an unreachable upstream is avoided, in ms. Doubles with each
 * further failure up to the maximum: a restart takes seconds, and each attempt
 * costs its request up to half a second.
 */
const INITIAL_UNREACHABLE_MS = 1_000;

/**
 * Upper bound of the time for which an unreachable upstream is avoided, in ms.
 */
const MAX_UNREACHABLE_MS = 4_000;

/**
 * An upstream with requests in flight that has sent no byte for this time, in
 * ms, counts as silent. Even a full upstream sends an event every few hundred
 * ms.
 */
const SILENCE_TIMEOUT_MS = 1_500;

/** Weight of the latest result in the moving average of failures. */
const RESULT_WEIGHT = 0.2;

/** Share of failures above which other upstreams are preferred. */
const MAX_FAILURE_SHARE = 0.35;

/**
 * Half-life of the share of failures, in ms, after which the upstream is tried
 * again.
 */
const FAILURE_HALF_LIFE_MS = 2_000;

interface UpstreamRecord {
  inFlight: number;
  lastActivityMs: number;
  unreachableUntilMs: number;
  unreachableMs: number;
  failureShare: number;
  failureAtMs: number;
}

/** Creates a watch without observations. */
export function createHealthWatch(
  clock: Clock,
  onChange: (change: HealthChange) => void = () => {},
): HealthWatch {
  const upstreams = new Map<string, UpstreamRecord>();
  const changes = createHealthChanges(clock, onChange);

  function get(upstream: string): UpstreamRecord {
    return getOrCreate(upstreams, upstream, () => ({
      inFlight: 0,
      lastActivityMs: clock.monotonicMs(),
      unreachableUntilMs: 0,
      unreachableMs: INITIAL_UNREACHABLE_MS,
      failureShare: 0,
      failureAtMs: 0,
    }));
  }

  function getFailureShare(record: UpstreamRecord): number {
    const sinceMs = clock.monotonicMs() - record.failureAtMs;
    return record.failureShare * 0.5 ** (sinceMs / FAILURE_HALF_LIFE_MS);
  }

  function recordResult(record: UpstreamRecord, failure: 0 | 1): void {
    const share = getFailureShare(record);
    record.failureShare = share + (failure - share) * RESULT_WEIGHT;
    record.failureAtMs = clock.monotonicMs();
  }

  function tryGetUnhealthyReason(
    record: UpstreamRecord,
  ): UnhealthyReason | undefined {
    const nowMs = clock.monotonicMs();
    if (nowMs < record.unreachableUntilMs) return "unreachable";
    const isSilent = record.inFlight > 0 &&
      nowMs - record.lastActivityMs > SILENCE_TIMEOUT_MS;
    if (isSilent) return "silent";
    return getFailureShare(record) > MAX_FAILURE_SHARE ? "failures" : undefined;
  }

  /** Returns whether the upstream is unhealthy, and reports a change. */
  function check(upstream: string, record: UpstreamRecord): boolean {
    const because = tryGetUnhealthyReason(record);
    changes.observe(upstream, because, () => ({
      inFlight: record.inFlight,
      silentMs: clock.monotonicMs() - record.lastActivityMs,
      failureShare: getFailureShare(record),
    }));
    return because !== undefined;
  }

  function isUnhealthy(upstream: string): boolean {
    const record = upstreams.get(upstream);
    return record !== undefined && check(upstream, record);
  }

  return {
    beginRequest(upstream) {
      const record = get(upstream);
      if (record.inFlight === 0) record.lastActivityMs = clock.monotonicMs();
      record.inFlight++;
    },
    endRequest: (upstream) => void get(upstream).inFlight--,
    recordActivity(upstream) {
      const record = get(upstream);
      record.lastActivityMs = clock.monotonicMs();
      record.unreachableMs = INITIAL_UNREACHABLE_MS;
      record.unreachableUntilMs = 0;
      // Activity can only end an unhealthy state, and comes with each event.
      if (changes.isReportedUnhealthy(upstream)) check(upstream, record);
    },
    recordSuccess(upstream) {
      const record = get(upstream);
      recordResult(record, 0);
      check(upstream, record);
    },
    recordFailure(upstream, failure) {
      const record = get(upstream);
      if (failure === "failed") {
        recordResult(record, 1);
        check(upstream, record);
        return;
      }
      record.unreachableUntilMs = clock.monotonicMs() + record.unreachableMs;
      record.unreachableMs = Math.min(
        MAX_UNREACHABLE_MS,
        record.unreachableMs * 2,
      );
      check(upstream, record);
    },
    getInFlight: (upstream) => upstreams.get(upstream)?.inFlight ?? 0,
    isUnhealthy,
    filterHealthy(all) {
      const healthy = all.filter((each) => !isUnhealthy(each.id));
      return healthy.length > 0 ? healthy : all;
    },
  };
}
