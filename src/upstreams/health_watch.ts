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
  begin(upstream: string): void;
  end(upstream: string): void;
  /** Bytes of an answer have come. */
  noteLife(upstream: string): void;
  noteAnswered(upstream: string): void;
  noteFailed(upstream: string, failure: FailureKind): void;
  getInFlight(upstream: string): number;
  /** Whether other upstreams should be asked first. */
  isSuspect(upstream: string): boolean;
  /** Those that should be asked, or all where none should. */
  filterSound<T extends { readonly id: string }>(
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
const UNREACHABLE_MS = 1_000;

/** The most of it, in ms. */
const MAX_UNREACHABLE_MS = 4_000;

/**
 * With work in flight and no byte for so long, in ms, an upstream counts as
 * silent; a full one still sends an event each few hundred ms.
 */
const SILENT_MS = 1_500;

/** Weight of the newest result in the share of failures. */
const RESULT_WEIGHT = 0.2;

/** Above this share of failures other upstreams are asked first. */
const MAX_FAILURE_SHARE = 0.35;

/** The share of failures fades to a half in so long, in ms, to try again. */
const FAILURE_HALF_LIFE_MS = 2_000;

interface Seen {
  inFlight: number;
  lastLifeMs: number;
  unreachableUntilMs: number;
  unreachableMs: number;
  failureShare: number;
  failureAtMs: number;
}

/** Makes a watch that has seen nothing. */
export function createHealthWatch(clock: Clock): HealthWatch {
  const upstreams = new Map<string, Seen>();

  function get(upstream: string): Seen {
    return getOrCreate(upstreams, upstream, () => ({
      inFlight: 0,
      lastLifeMs: clock.monotonicMs(),
      unreachableUntilMs: 0,
      unreachableMs: UNREACHABLE_MS,
      failureShare: 0,
      failureAtMs: 0,
    }));
  }

  function getFailureShare(seen: Seen): number {
    const sinceMs = clock.monotonicMs() - seen.failureAtMs;
    return seen.failureShare * 0.5 ** (sinceMs / FAILURE_HALF_LIFE_MS);
  }

  function noteResult(seen: Seen, failure: 0 | 1): void {
    const share = getFailureShare(seen);
    seen.failureShare = share + (failure - share) * RESULT_WEIGHT;
    seen.failureAtMs = clock.monotonicMs();
  }

  function isSuspect(upstream: string): boolean {
    const seen = upstreams.get(upstream);
    if (seen === undefined) return false;
    const nowMs = clock.monotonicMs();
    if (nowMs < seen.unreachableUntilMs) return true;
    const isSilent = seen.inFlight > 0 && nowMs - seen.lastLifeMs > SILENT_MS;
    return isSilent || getFailureShare(seen) > MAX_FAILURE_SHARE;
  }

  return {
    begin(upstream) {
      const seen = get(upstream);
      if (seen.inFlight === 0) seen.lastLifeMs = clock.monotonicMs();
      seen.inFlight++;
    },
    end: (upstream) => void get(upstream).inFlight--,
    noteLife(upstream) {
      const seen = get(upstream);
      seen.lastLifeMs = clock.monotonicMs();
      seen.unreachableMs = UNREACHABLE_MS;
      seen.unreachableUntilMs = 0;
    },
    noteAnswered: (upstream) => noteResult(get(upstream), 0),
    noteFailed(upstream, failure) {
      const seen = get(upstream);
      if (failure === "failed") {
        noteResult(seen, 1);
        return;
      }
      seen.unreachableUntilMs = clock.monotonicMs() + seen.unreachableMs;
      seen.unreachableMs = Math.min(
        MAX_UNREACHABLE_MS,
        seen.unreachableMs * 2,
      );
    },
    getInFlight: (upstream) => upstreams.get(upstream)?.inFlight ?? 0,
    isSuspect,
    filterSound(all) {
      const sound = all.filter((each) => !isSuspect(each.id));
      return sound.length > 0 ? sound : all;
    },
  };
}
