/**
 * The hosts at which a stream may have begun that is taken up now, whether they
 * still answer or not.
 *
 * Load: this host is cut off together with some others. Failure prevented: the
 * hosts beyond the cut count as gone after a second, and those on this side
 * agree on what they alone know.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import { MEMORY_MS } from "./types.ts";

/** The hosts that are alive, or were of late. */
export interface RecentHosts {
  /**
   * Records the hosts that are alive. Those that are gone are forgotten only
   * while the platform's table is current: what they knew before is in it.
   */
  update(getAlive: () => readonly string[], isTableCurrent: boolean): void;
  getAll(): readonly string[];
}

/** Interval at which hosts are recorded, in ms. */
const UPDATE_INTERVAL_MS = 200;

/** Creates a memory without any host. */
export function createRecentHosts(clock: Clock): RecentHosts {
  const seenMs = new Map<string, number>();
  let updatedMs = -Infinity;

  return {
    update(getAlive, isTableCurrent) {
      const nowMs = clock.monotonicMs();
      if (nowMs - updatedMs < UPDATE_INTERVAL_MS) return;
      updatedMs = nowMs;
      for (const host of getAlive()) seenMs.set(host, nowMs);
      if (!isTableCurrent) return;
      for (const [host, atMs] of seenMs) {
        if (nowMs - atMs > MEMORY_MS) seenMs.delete(host);
      }
    },
    getAll: () => [...seenMs.keys()],
  };
}
