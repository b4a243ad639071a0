/**
 * Decides for how long an upstream may be silent before another one is sought.
 *
 * Load: an upstream is lost without a reset, or a sound one pauses for a second
 * or two, while its callers wait. Failures prevented: callers give up on streams
 * of an upstream that is lost before another one can take over, or the work of
 * every short pause is done again elsewhere.
 *
 * @module
 */

import type { Route } from "../routing/mod.ts";

/** Callers wait at least this long for the next event of a stream, in ms. */
const MIN_PATIENCE_MS = 2_000;

/** Callers wait for this many times the route's target of the first event. */
const PATIENCE_TARGETS = 4;

/** Callers wait for this many times the longest pause that is on time. */
const PATIENCE_PAUSES = 8;

/** Share of the callers' patience after which another upstream is sought. */
const STREAM_SILENCE_SHARE = 0.5;

/** The same share where callers wait for the shortest time. */
const MAX_STREAM_SILENCE_SHARE = 0.8;

/**
 * An idempotent call that has not been answered after this share of its
 * remaining time is also sent to another upstream: late enough that few
 * responses arrive after it, early enough for a second attempt to finish.
 */
const CALL_SILENCE_SHARE = 0.5;

/** Returns how long callers wait for the next event of a stream, in ms. */
export function getPatienceMs({ targetMs, pauseTargetMs = 0 }: Route): number {
  return Math.max(
    MIN_PATIENCE_MS,
    targetMs * PATIENCE_TARGETS,
    pauseTargetMs * PATIENCE_PAUSES,
  );
}

/**
 * Returns the time without a byte, in ms, after which another upstream is
 * sought; `undefined` if no other may run the request.
 */
export function tryGetSilenceLimitMs(
  route: Route,
  remainingMs: number,
): number | undefined {
  if (route.maxAttempts <= 1) return undefined;
  switch (route.kind) {
    case "idempotent":
      return Math.max(1, remainingMs) * CALL_SILENCE_SHARE;
    case "at-most-once":
      return undefined;
    case "stream":
      return route.isResumable ? getStreamLimitMs(route) : undefined;
  }
}

function getStreamLimitMs(route: Route): number {
  return Math.max(
    getPatienceMs(route) * STREAM_SILENCE_SHARE,
    MIN_PATIENCE_MS * MAX_STREAM_SILENCE_SHARE,
  );
}
