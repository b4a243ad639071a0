/**
 * The ends of a request as the caller gets them. Each is one of the three
 * outcomes, with a status, a header and a JSON body that names a message of the
 * catalogue; `Retry-After` says when coming back helps.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import {
  formatMessage,
  type MessageName,
  messages,
} from "../diagnostics/mod.ts";
import type { Outcome } from "../types.ts";

/** Names the outcome on every final answer. */
export const OUTCOME_HEADER = "azurestile-outcome";

/** Names the request on every answer. */
export const REQUEST_HEADER = "azurestile-request";

/** Names the stream, for a caller that wants to resume it. */
export const RESUME_HEADER = "azurestile-resume";

/** Set on an answer that an earlier request with the same key got first. */
export const RECORDED_HEADER = "azurestile-recorded";

/** A final answer that is not the upstream's. */
export interface FinalReply {
  readonly outcome: Exclude<Outcome, "answered">;
  readonly status: number;
  readonly message: MessageName;
  readonly args: readonly (string | number)[];
  /** 0: coming back with the same request does not help. */
  readonly retryAfterMs: number;
}

/** Makes a reply for a request that did not run. */
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

/** Makes a reply for a request whose effect is unknown. */
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

/** Sends the reply as a whole HTTP answer, or as a stream's last event. */
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
  res.writeHead(reply.status, { "content-type": "application/json" });
  res.end(body);
}
