/**
 * Decides by chance which of the hosts that wait for the same room at an upstream
 * use it.
 *
 * Load: a team floods through all hosts of a large fleet. Failure prevented: all
 * of them see an upstream become free in the same round of load reports and fill
 * it to many times its limit together, so that teams which get less than their
 * due find no room until it has prefilled all of that.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import type { PromptQueueHost } from "./types.ts";

/** The draws of one host. */
export interface RoomDraws {
  /**
   * Whether this host may use room at the upstream that is this share of what
   * all hosts wait for. The answer for a share stays the same until load reports
   * of other hosts can tell what they have started.
   */
  isDrawn(upstream: string, share: number): boolean;
}

/** Time for which draws hold, in ms: the period of load reports. */
const ROUND_MS = 100;

/** Creates draws that have not been made yet. */
export function createRoomDraws(
  host: Pick<PromptQueueHost, "nowMs" | "random">,
): RoomDraws {
  /** The draws of this round, by upstream. */
  const draws = new Map<string, number>();
  let roundMs = -Infinity;

  function getDraw(upstream: string): number {
    const nowMs = host.nowMs();
    if (nowMs - roundMs >= ROUND_MS) {
      draws.clear();
      roundMs = nowMs;
    }
    return getOrCreate(draws, upstream, host.random);
  }

  return {
    isDrawn: (upstream, share) => share >= 1 || getDraw(upstream) < share,
  };
}
