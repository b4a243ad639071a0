/**
 * When callers of requests that have not run should come back.
 *
 * @module
 */

/** After a failure that was no one's refusal callers may come back at once. */
export const FAILED_RETRY_MS = 300;

/** A host that has just started knows the configuration about so soon, in ms. */
export const NO_CONFIG_RETRY_MS = 500;

/** A longer outage of the platform is not worth waiting for, in ms. */
const MAX_NO_CONFIG_RETRY_MS = 3_000;

/** Callers wait no longer than this share of the time that they have left. */
const MAX_TIMEOUT_SHARE = 1 / 3;

/** Least and most of the time that is told; callers must not come in a burst. */
const MIN_JITTER = 0.75;
const MAX_JITTER = 1.25;

/** What is known of a host without a configuration, and of its caller. */
export interface NoConfigInput {
  readonly sinceStartMs: number;
  /** How long the caller waits in all, if it said. */
  readonly callerTimeoutMs: number | undefined;
  /** From 0 up to 1. */
  readonly random: number;
}

/**
 * When to come back to a host that knows no configuration, in ms.
 *
 * Load: all hosts are killed while the platform is away. Harm prevented: told all
 * the while to come back in half a second, callers are refused a second time,
 * which for most is the last. A host that did not learn the configuration at its
 * start waits for the platform, which stays away about as long again as it has
 * been: of 355 requests in two such seconds 144 were lost, not 189 (one run each).
 */
export function getNoConfigRetryMs(input: NoConfigInput): number {
  const { sinceStartMs, callerTimeoutMs = Infinity, random } = input;
  const expectedMs = Math.max(NO_CONFIG_RETRY_MS, sinceStartMs);
  const jitter = MIN_JITTER + (MAX_JITTER - MIN_JITTER) * random;
  return Math.min(
    expectedMs * jitter,
    MAX_NO_CONFIG_RETRY_MS,
    callerTimeoutMs * MAX_TIMEOUT_SHARE,
  );
}

/** Callers of a rest come back over so much of it, and at least so long, in ms. */
const BACKOFF_JITTER_SHARE = 0.25;
const MIN_BACKOFF_JITTER_MS = 500;

/**
 * When to come back while all upstreams rest, in ms; `random` from 0 up to 1.
 *
 * Load: all upstreams of a service shed at once. Harm prevented: callers that are
 * told less than the rest are refused again and again, and told the same moment
 * they all come in it.
 */
export function getBackoffRetryMs(remainingMs: number, random: number): number {
  const jitterMs = Math.max(
    MIN_BACKOFF_JITTER_MS,
    remainingMs * BACKOFF_JITTER_SHARE,
  );
  return remainingMs + jitterMs * random;
}
