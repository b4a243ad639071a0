/**
 * Tells from the events of a response that its upstream survives the parts of the
 * prompt. A part that crashes upstreams does so as they begin to answer, so that
 * an answer that goes on clears its parts, long before it ends.
 *
 * @module
 */

import type { Attempt, Call, ForwardHost } from "./call.ts";

/** Watches the events of one response. */
export interface ProvenParts {
  /** Events were read, after up to `unreadMs` in the socket. */
  onEvents(nowMs: number, unreadMs: number): void;
  /** The response is read again after a pause; what comes may be old. */
  onResumed(nowMs: number): void;
}

/**
 * Time for which events must have come, in ms. An upstream that ends as it begins
 * to answer has written nothing for as long.
 */
const PROOF_MS = 300;

/** Creates a watch of a response whose events have not come. */
export function createProvenParts(
  host: ForwardHost,
  call: Call,
  attempt: Attempt,
): ProvenParts {
  let sinceMs: number | undefined;
  return {
    onEvents(nowMs, unreadMs) {
      sinceMs ??= nowMs;
      if (nowMs - unreadMs - sinceMs < PROOF_MS) return;
      recordProven(host, call, attempt);
    },
    onResumed: (nowMs) => sinceMs = nowMs,
  };
}

/** Clears the parts of the request, once for each attempt. */
export function recordProven(
  host: ForwardHost,
  { parts }: Call,
  attempt: Attempt,
): void {
  if (attempt.isProven) return;
  attempt.isProven = true;
  for (const part of parts) host.crashes.recordSuccess(part);
}
