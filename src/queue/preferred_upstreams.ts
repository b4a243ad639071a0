/**
 * Selects the upstreams that a prompt waits for.
 *
 * Load: prompts with long shared prefixes, each cached at a few upstreams,
 * beside prompts that any upstream serves as well. Harm prevented: a prefix that
 * is prefilled again at every upstream that is free.
 *
 * @module
 */

import type { RankedUpstream, UpstreamLoad } from "./types.ts";

/**
 * Upstreams considered for a prompt with a short shared prefix; considering
 * sixty costs seven times as much.
 */
export const MAX_SIMILAR = 8;

/**
 * Returns the upstreams that a prompt waits for: those that hold its shared
 * prefix, or the first alone if none is known to. Where the hosts do not keep
 * track of the prefix, those that would have to prefill about as little as the
 * first.
 */
export function getPreferred(
  upstreams: readonly RankedUpstream[],
  negligibleTokens: number,
): readonly RankedUpstream[] {
  const [first] = upstreams;
  if (first === undefined) return [];
  if (first.prefix !== undefined && first.prefix !== "held") return [first];
  const best = upstreams.slice(0, MAX_SIMILAR);
  return first.prefix === "held"
    ? best.filter((each) => each.prefix === "held")
    : best.filter((each) =>
      each.readingTokens - first.readingTokens <= negligibleTokens
    );
}

/** Returns the upstream with the fewest requests in flight. */
export function getLeastBusy(
  upstreams: readonly RankedUpstream[],
  getLoad: (upstream: string) => UpstreamLoad,
): RankedUpstream {
  const getInFlight = ({ upstream }: RankedUpstream) =>
    getLoad(upstream).inFlight;
  // The first of equally busy upstreams, so that shared prefixes stay in place.
  return upstreams.reduce((least, each) =>
    getInFlight(each) < getInFlight(least) ? each : least
  );
}
