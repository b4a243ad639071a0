/**
 * Rejections: responses that the system generates itself. A status of 408, 421,
 * 429 or 503 promises that the request has not run and never will. Other
 * statuses promise nothing, so that a request that may have run is rejected
 * with 502 or 504.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import * as Data from "effect/Data";
import type { QueueInputs } from "../diagnostics/mod.ts";
import { endAfterRequest } from "../requests/early_response.ts";
import type { Outcome } from "../types.ts";
import type { CallCodec } from "./types.ts";

/** Failure of a request that ends with a rejection. */
export class Rejected extends Data.TaggedError("Rejected")<{
  readonly status: RejectStatus;
  readonly reason: string;
  /** Delay before a retry, in ms; for a request that has not run. */
  readonly retryAfterMs?: number;
  /**
   * Inputs of the queue's decision; `undefined` if the queue did not reject the
   * request.
   */
  readonly queue?: QueueInputs;
}> {}

/** The statuses of rejections. */
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

/** Creates the rejection of a request that has not run and may be retried. */
export function createNotRunRejection(
  reason: string,
  retryAfterMs: number,
): Rejected {
  return new Rejected({ status: 503, reason, retryAfterMs });
}

/** Returns the outcome that the status implies. */
export function getOutcome(status: RejectStatus): Outcome {
  return status === 502 || status === 504 ? "may-have-run" : "not-run";
}

/** Sends the rejection, unless a response has already been started. */
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
    "content-length": Buffer.byteLength(body),
  });
  endAfterRequest(res, body);
}
