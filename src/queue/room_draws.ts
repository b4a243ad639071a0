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

import { dropOldest } from "../core/mod.ts";
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

/**
 * Time for which a draw holds, in ms: the period of load reports. Each upstream
 * has its own, as hosts that all draw anew at once start at once.
 */
const DRAW_TTL_MS = 100;

/** Upstreams whose draws are kept; many times those that are waited for. */
const MAX_DRAWS = 1_024;

interface Draw {
  readonly value: number;
  readonly drawnMs: number;
}

/** Creates draws that have not been made yet. */
export function createRoomDraws(
  host: Pick<PromptQueueHost, "nowMs" | "random">,
): RoomDraws {
  const draws = new Map<string, Draw>();

  function getDraw(upstream: string): Draw {
    const drawnMs = host.nowMs();
    const known = draws.get(upstream);
    if (known !== undefined && drawnMs - known.drawnMs < DRAW_TTL_MS) {
      return known;
    }
    const draw = { value: host.random(), drawnMs };
    draws.delete(upstream);
    draws.set(upstream, draw);
    dropOldest(draws, MAX_DRAWS);
    return draw;
  }

  return {
    isDrawn: (upstream, share) => share >= 1 || getDraw(upstream).value < share,
  };
}
