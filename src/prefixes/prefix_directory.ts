/**
 * Keeps which upstreams probably have which shared prefixes cached: those that
 * any host has sent a prompt with the prefix in the last seconds.
 *
 * Load: hundreds of placements per second from the whole fleet after a start,
 * then few, and a lookup for each waiting prompt.
 *
 * Failures prevented:
 * - A prompt whose prefix is cached at the second upstream of its ranking goes
 *   to the first one, which prefills the prefix again.
 * - An upstream that holds nothing is counted, or named as a source, as if it
 *   had the prefix cached.
 * - Each start of a prompt with a hot prefix is announced to all hosts.
 *
 * The directory is not exact: a lost announcement, or a prefix that its upstream
 * has evicted, costs one repeated prefill.
 *
 * @module
 */

import type { Placement } from "./types.ts";

/** An upstream that has probably cached a prefix. */
export interface KnownHolder {
  /** Digest of the upstream's id and incarnation. */
  readonly upstream: number;
  /** Time since the first placement that this host knows of, in ms. */
  readonly ageMs: number;
}

/** The directory of one host. */
export interface PrefixDirectory {
  /**
   * Records that this host starts a prompt. Returns whether the placement must
   * be announced to the other hosts.
   */
  record(placement: Placement): boolean;
  /**
   * Records a placement that another host has announced. Returns false if that
   * was known, as when an aggregator returns this host's own announcement.
   */
  receive(placement: Placement): boolean;
  /** Returns the holders of the prefix, in no particular order. */
  getHolders(prefix: number): readonly KnownHolder[];
  /** Returns a number that differs after a holder of the prefix was added. */
  getRevision(prefix: number): number;
  /** Number of prefixes with a holder. */
  count(): number;
}

/** Most prefixes that are kept, the least recently used are dropped first. */
export const MAX_PREFIXES = 20_000;

/**
 * Most holders of a prefix that are kept: three copies, and one upstream that
 * was idle when the prompt would have been refused.
 */
export const MAX_HOLDERS = 4;

/**
 * A placement is dropped at this time after its last known use, in ms: twice the
 * period of the announcements, so that one of them may be lost.
 */
export const PLACEMENT_TTL_MS = 20_000;

/** Least time between two announcements of a placement that a host knows, in ms. */
export const ANNOUNCEMENT_PERIOD_MS = 10_000;

/**
 * Announcements of one placement within this time, in ms, count as one: of
 * several hosts at once, and of this host on its way back from the aggregator.
 */
const SAME_ANNOUNCEMENT_MS = 1_000;

interface Holder {
  readonly upstream: number;
  readonly sinceMs: number;
  usedMs: number;
  announcedMs: number;
}

interface KnownPrefix {
  holders: Holder[];
  usedMs: number;
  revision: number;
}

/** Creates an empty directory. */
export function createPrefixDirectory(
  host: { nowMs(): number },
): PrefixDirectory {
  /** The least recently used first. */
  const prefixes = new Map<number, KnownPrefix>();
  let revisions = 0;

  // Small integers take no space of their own in objects.
  const getNowMs = () => Math.floor(host.nowMs());

  /** Stops at the first prefix in use, so that each is removed only once. */
  function removeExpired(nowMs: number): void {
    for (const [prefix, { usedMs }] of prefixes) {
      if (nowMs - usedMs <= PLACEMENT_TTL_MS) return;
      prefixes.delete(prefix);
    }
  }

  /** Returns the prefix, as the most recently used one. */
  function use(prefix: number, nowMs: number): KnownPrefix {
    const known = prefixes.get(prefix) ??
      { holders: [], usedMs: nowMs, revision: 0 };
    known.usedMs = nowMs;
    prefixes.delete(prefix);
    prefixes.set(prefix, known);
    if (prefixes.size > MAX_PREFIXES) {
      const [leastRecentlyUsed] = prefixes.keys();
      prefixes.delete(leastRecentlyUsed!);
    }
    return known;
  }

  function addHolder(known: KnownPrefix, upstream: number, nowMs: number) {
    const fresh = known.holders.filter((each) => isFresh(each, nowMs))
      .sort((a, b) => b.usedMs - a.usedMs)
      .slice(0, MAX_HOLDERS - 1);
    const holder = {
      upstream,
      sinceMs: nowMs,
      usedMs: nowMs,
      announcedMs: nowMs,
    };
    known.holders = [...fresh, holder];
    known.revision = ++revisions;
  }

  /**
   * Records a use. Returns whether the latest announcement of the placement is
   * older than the time given, or unknown; the use then counts as announced.
   */
  function recordUse(placement: Placement, announcedWithinMs: number): boolean {
    const { prefix, upstream } = placement;
    const nowMs = getNowMs();
    removeExpired(nowMs);
    const known = use(prefix, nowMs);
    const holder = known.holders.find((each) => each.upstream === upstream);
    if (holder === undefined || !isFresh(holder, nowMs)) {
      known.holders = known.holders.filter((each) => each !== holder);
      addHolder(known, upstream, nowMs);
      return true;
    }
    holder.usedMs = nowMs;
    if (nowMs - holder.announcedMs <= announcedWithinMs) return false;
    holder.announcedMs = nowMs;
    return true;
  }

  return {
    record: (placement) => recordUse(placement, ANNOUNCEMENT_PERIOD_MS),
    receive: (placement) => recordUse(placement, SAME_ANNOUNCEMENT_MS),
    getHolders(prefix) {
      const nowMs = getNowMs();
      const holders = prefixes.get(prefix)?.holders ?? [];
      return holders.filter((each) => isFresh(each, nowMs))
        .map(({ upstream, sinceMs }) => ({ upstream, ageMs: nowMs - sinceMs }));
    },
    getRevision: (prefix) => prefixes.get(prefix)?.revision ?? 0,
    count() {
      removeExpired(getNowMs());
      return prefixes.size;
    },
  };
}

function isFresh({ usedMs }: Holder, nowMs: number): boolean {
  return nowMs - usedMs <= PLACEMENT_TTL_MS;
}
