/**
 * The log line for a change of an upstream's health at this host.
 *
 * @module
 */

import type { Decision } from "../diagnostics/mod.ts";
import type { HealthChange } from "../upstreams/mod.ts";

/** Creates the decision that is logged for the change. */
export function createHealthDecision(change: HealthChange): Decision {
  const { isHealthy, upstream, because, inFlight, lastedMs } = change;
  return {
    event: isHealthy ? "upstream-healthy" : "upstream-unhealthy",
    upstream,
    because,
    inFlight,
    silentMs: Math.round(change.silentMs),
    failureShare: Number(change.failureShare.toFixed(2)),
    lastedMs: lastedMs === undefined ? undefined : Math.round(lastedMs),
  };
}
