/**
 * Decides which share of the prompts of teams over their due a busy host refuses
 * by their headers.
 *
 * Load: a flood at all hosts, and teams whose callers keep to a few. Failure
 * prevented: the hosts of a data centre read the flood's prompts, let them wait
 * and relay their answers, while connections of the other teams' callers are not
 * accepted. What a host can't accept is asked by nobody's count, so that the
 * upstreams are shared fairly and the processors are not.
 *
 * @module
 */

import type { ProcessorUse } from "../types.ts";

/** Utilization above which a host begins to refuse. */
const MIN_UTILIZATION = 0.7;

/**
 * Returns the share, from 0 to 1. It rises with the utilization, so that a host
 * that has just enough time refuses few prompts. Where all connections are
 * accepted it is 0: the time would be left to nobody.
 */
export function getShedShare({ utilization, isShort }: ProcessorUse): number {
  if (!isShort) return 0;
  return Math.max(0, (utilization - MIN_UTILIZATION) / (1 - MIN_UTILIZATION));
}
