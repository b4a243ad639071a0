/**
 * The log line of a changed limit on prefill tokens.
 *
 * @module
 */

import type { Decision } from "../diagnostics/mod.ts";
import type { PacingChange } from "../pacing/mod.ts";

/**
 * Creates the decision for the log; `upstream` is absent where the limit is that
 * of the service.
 */
export function createReadingLimitDecision(
  service: string,
  change: PacingChange,
  upstream?: string,
): Decision {
  return {
    event: "reading-limit-changed",
    service,
    ...(upstream === undefined ? {} : { upstream }),
    limitTokens: Math.round(change.limitTokens),
    inTimeTokens: Math.round(change.inTimeTokens),
    lateShare: Number(change.lateShare.toFixed(3)),
  };
}
