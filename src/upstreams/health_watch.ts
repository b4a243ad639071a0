/**
 * What this host has seen of each upstream: work in flight, signs of life and
 * failures. Placement passes over an upstream that fails, but never over all.
 *
 * Load: an upstream crashes, goes silent, or fails half of its requests while
 * it calls itself healthy. Harm prevented: request after request is sent there,
 * since an upstream that fails at once looks the least busy of all.
 *
 * @module
 */

import { type Clock, getOrCreate } from "../core/mod.ts";

/** What this host knows of its upstreams by itself. */
export interface HealthWatch {
  beginRequest(upstream: string): void;
  endRequest(upstream: string): void;
  /** Bytes of an answer have come. */
  recordActivity(upstream: string): void;
  recordSuccess(upstream: string): void;
  recordFailure(upstream: string, failure: FailureKind): void;
  getInFlight(upstream: string): number;
  /** Whether other upstreams should be asked first. */
  isUnhealthy(upstream: string): boolean;
  /** Those that should be asked, or all where none should. */
  filterHealthy<T extends { readonly id: string }>(
    upstreams: readonly T[],
  ): readonly T[];
}

/** How an upstream failed. */
export type FailureKind = "unreachable" | "failed";

/**
 * An upstream that can't be reached is left alone for so long, in ms, and twice
 * as long at each further failure up to the most: a restart takes seconds, and
 * each try costs its request up to half a second.
 */
const INITIAL_UNREACHABLE_MS = 1_000;

/** The most of it, in ms. */
const MAX_UNREACHABLE_MS = 4_000;

/**
 * With work in flight and no byte for so long, in ms, an upstream counts as
 * silent; a full one still sends an event each few hundred ms.
 */
const SILENCE_TIMEOUT_MS = 1_500;

/** Weight of the newest result in the share of failures. */
const RESULT_WEIGHT = 0.2;

/** Above this share of failures other upstreams are asked first. */
const MAX_FAILURE_SHARE = 0.35;

/** The share of failures fades to a half in so long, in ms, to try again. */
const FAILURE_HALF_LIFE_MS = 2_000;

interface UpstreamRecord {
  inFlight: number;
  lastActivityMs: number;
  unreachableUntilMs: number;
  unreachableMs: number;
  failureShare: number;
  failureAtMs: number;
}

/** Makes a watch that has seen nothing. */
export function createHealthWatch(clock: Clock): HealthWatch {
  const upstreams = new Map<string, UpstreamRecord>();

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

  function isUnhealthy(upstream: string): boolean {
    const record = upstreams.get(upstream);
    if (record === undefined) return false;
    const nowMs = clock.monotonicMs();
    if (nowMs < record.unreachableUntilMs) return true;
    const isSilent = record.inFlight > 0 &&
      nowMs - record.lastActivityMs > SILENCE_TIMEOUT_MS;
    return isSilent || getFailureShare(record) > MAX_FAILURE_SHARE;
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
    },
    recordSuccess: (upstream) => recordResult(get(upstream), 0),
    recordFailure(upstream, failure) {
      const record = get(upstream);
      if (failure === "failed") {
        recordResult(record, 1);
        return;
      }
      record.unreachableUntilMs = clock.monotonicMs() + record.unreachableMs;
      record.unreachableMs = Math.min(
        MAX_UNREACHABLE_MS,
        record.unreachableMs * 2,
      );
    },
    getInFlight: (upstream) => upstreams.get(upstream)?.inFlight ?? 0,
    isUnhealthy,
    filterHealthy(all) {
      const healthy = all.filter((each) => !isUnhealthy(each.id));
      return healthy.length > 0 ? healthy : all;
    },
  };
}
