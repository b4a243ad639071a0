/**
 * The answers that the system makes itself. A status of 408, 421, 429 or 503
 * promises that the request has not run and never will; all others promise
 * nothing, so that one that may have run ends with 502 or 504.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import * as Data from "effect/Data";
import type { QueueInputs } from "../diagnostics/mod.ts";
import type { Outcome } from "../types.ts";
import type { CallCodec } from "./types.ts";

/** A request that ends with an answer of the system's own. */
export class Rejected extends Data.TaggedError("Rejected")<{
  readonly status: RejectStatus;
  readonly reason: string;
  /** When to come back, in ms; for a request that has not run. */
  readonly retryAfterMs?: number;
  /** What the queue decided from; absent where another part did. */
  readonly queue?: QueueInputs;
}> {}

/** The statuses that the system answers with. */
export type RejectStatus =
  | 400
  | 401
  | 404
  | 408
  | 413
  | 431
  | 502
  | 503
  | 504;

/** A request that has not run, and when to come back. */
export function createNotRunRejection(
  reason: string,
  retryAfterMs: number,
): Rejected {
  return new Rejected({ status: 503, reason, retryAfterMs });
}

/** What the status tells of the request. */
export function getOutcome(status: RejectStatus): Outcome {
  return status === 502 || status === 504 ? "may-have-run" : "not-run";
}

/** Sends the answer; does nothing when another has begun. */
export function sendRejection(
  res: ServerResponse,
  rejected: Rejected,
  request: { readonly codec: CallCodec; readonly id: string | undefined },
): void {
  if (res.headersSent || res.destroyed) return;
  const { status, reason, retryAfterMs } = rejected;
  const body = JSON.stringify({ error: reason });
  res.writeHead(status, {
    ...request.codec.createRejectionHeaders({
      requestId: request.id,
      retryAfterMs,
    }),
    "content-type": "application/json",
    "content-length": body.length,
  });
  res.end(body);
}
