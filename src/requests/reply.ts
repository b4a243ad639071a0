/**
 * Final replies to the caller. Each has one of the three outcomes, with a
 * status, a header and a JSON body that names a message of the catalogue;
 * `Retry-After` is set when a retry may help.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import {
  formatMessage,
  type MessageName,
  messages,
} from "../diagnostics/mod.ts";
import type { Outcome } from "../types.ts";
import { endAfterRequest } from "./early_response.ts";

/** Header with the outcome, on every final response. */
export const OUTCOME_HEADER = "azurestile-outcome";

/** Header with the id of the request, on every response. */
export const REQUEST_HEADER = "azurestile-request";

/** Header with the token by which the caller can resume the stream. */
export const RESUME_HEADER = "azurestile-resume";

/**
 * Header of a response that was recorded for an earlier request with the same
 * idempotency key.
 */
export const RECORDED_HEADER = "azurestile-recorded";

/** A final response that the router itself creates. */
export interface FinalReply {
  readonly outcome: Exclude<Outcome, "answered">;
  readonly status: number;
  readonly message: MessageName;
  readonly args: readonly (string | number)[];
  /** Time after which a retry may help, in ms; 0 when a retry does not help. */
  readonly retryAfterMs: number;
}

/** Creates the reply to a request that did not run. */
export function createNotRunReply(
  status: number,
  message: MessageName,
  options: { args?: readonly (string | number)[]; retryAfterMs?: number } = {},
): FinalReply {
  return {
    outcome: "not-run",
    status,
    message,
    args: options.args ?? [],
    retryAfterMs: options.retryAfterMs ?? 0,
  };
}

/** Creates the reply to a request that may have run. */
export function createMayHaveRunReply(
  status: number,
  message: MessageName,
  options: { args?: readonly (string | number)[]; retryAfterMs?: number } = {},
): FinalReply {
  return {
    ...createNotRunReply(status, message, options),
    outcome: "may-have-run",
  };
}

/** The JSON body of a final reply. */
export function createReplyBody(reply: FinalReply, request: string): string {
  return JSON.stringify({
    outcome: reply.outcome,
    code: messages[reply.message].code,
    message: formatMessage(reply.message, reply.args),
    request,
    ...(reply.retryAfterMs > 0 ? { retryAfterMs: reply.retryAfterMs } : {}),
  });
}

/**
 * Sends the reply as an HTTP response, or as the last event of a stream whose
 * headers have been sent.
 */
export function sendReply(
  res: ServerResponse,
  reply: FinalReply,
  request: string,
): void {
  if (res.destroyed || res.writableEnded) return;
  const body = createReplyBody(reply, request);
  if (res.headersSent) {
    res.end(`event: end\ndata: ${body}\n\n`);
    return;
  }
  if (reply.retryAfterMs > 0) {
    res.setHeader("retry-after", Math.ceil(reply.retryAfterMs / 1000));
  }
  res.setHeader(OUTCOME_HEADER, reply.outcome);
  res.setHeader(REQUEST_HEADER, request);
  res.writeHead(reply.status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
  });
  endAfterRequest(res, body);
}
