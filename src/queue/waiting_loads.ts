/**
 * Sums up, by upstream, the prompts that wait at this host for the other hosts:
 * those of underserved teams, for which yielding prompts leave room everywhere,
 * and the yielding ones, which share the room that is left.
 *
 * @module
 */

import { getOrCreate, type Mutable } from "../core/mod.ts";
import { NOTHING_WAITING, type WaitingLoad } from "../load/mod.ts";
import type { RankedUpstream, WaitingPrompt } from "./types.ts";

/** How a waiting prompt counts. */
export type WaitingPart = "underserved" | "yielding" | "neither";

/** What the sums depend on, supplied by the queue. */
export interface WaitingLoadsHost {
  getPart(prompt: WaitingPrompt): WaitingPart;
  /** Whether this host may start a prompt there by itself. */
  mayStartWithoutGrant(upstream: RankedUpstream): boolean;
}

/** Returns the sums over the prompts, each at the upstream that it prefers. */
export function getWaitingLoads(
  prompts: Iterable<WaitingPrompt>,
  host: WaitingLoadsHost,
): ReadonlyMap<string, WaitingLoad> {
  const loads = new Map<string, Mutable<WaitingLoad>>();
  for (const prompt of prompts) {
    const first = prompt.getUpstreams()[0];
    const part = host.getPart(prompt);
    if (first === undefined || part === "neither") continue;
    const load = getOrCreate(
      loads,
      first.upstream,
      () => ({ ...NOTHING_WAITING }),
    );
    const tokens = Math.round(first.readingTokens);
    if (part === "underserved") {
      load.underserved++;
      load.underservedTokens += tokens;
    } else if (host.mayStartWithoutGrant(first)) {
      load.yieldingTokens += tokens;
    }
  }
  return loads;
}
