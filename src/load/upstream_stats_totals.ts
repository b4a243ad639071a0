/**
 * Statistics of single upstreams by digest, and their sums over hosts.
 *
 * @module
 */

import {
  addUpstreamStats,
  hasSamples,
  type UpstreamStats,
} from "../pacing/mod.ts";

/** Statistics by the digest of the upstream's id and incarnation. */
export type StatsByUpstream = ReadonlyMap<number, UpstreamStats>;

/** Statistics that were received, and when. */
export interface ReceivedStats {
  readonly stats: UpstreamStats;
  /** Monotonic milliseconds. */
  readonly receivedMs: number;
}

/** Sums the statistics by upstream. */
export function addStatsByUpstream(
  all: readonly StatsByUpstream[],
): StatsByUpstream {
  const sums = new Map<number, UpstreamStats>();
  for (const each of all) {
    for (const [upstream, stats] of each) {
      const known = sums.get(upstream);
      const sum = known === undefined ? stats : addUpstreamStats(known, stats);
      sums.set(upstream, sum);
    }
  }
  return sums;
}

/**
 * Subtracts a host's own part from a sum. `undefined` if only rounding errors
 * remain.
 */
export function trySubtractOwn(
  sum: UpstreamStats,
  own: UpstreamStats | undefined,
): UpstreamStats | undefined {
  const others = own === undefined ? sum : addUpstreamStats(sum, own, -1);
  return hasSamples(others) ? others : undefined;
}
