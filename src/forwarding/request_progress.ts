/**
 * Collects what the decisions on the next step need to know of a request.
 *
 * @module
 */

import { isContentBlocked } from "./blocked_content.ts";
import type { Choice } from "./attempt_log.ts";
import type { Call, ForwardHost } from "./call.ts";
import type { RequestProgress } from "./next_step.ts";

/** Returns the state of the request after so many connection attempts. */
export function getRequestProgress(
  host: ForwardHost,
  call: Call,
  connects: number,
  { candidates, remainingMs }: Choice,
): RequestProgress {
  const { route, progress } = call;
  return {
    kind: route.kind,
    isResumable: route.isResumable,
    maxAttempts: route.maxAttempts,
    attempts: progress.attempts,
    possibleRuns: progress.possibleRuns,
    connects,
    hasSentEvents: call.res.headersSent,
    hasEventId: progress.lastEventId !== undefined,
    remainingMs,
    isBlocked: isContentBlocked(host, call),
    isSuspect: call.parts.some((each) => host.crashes.isSuspected(each)),
    hasCandidate: candidates > 0,
  };
}
