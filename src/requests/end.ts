/**
 * The end of a request: sends the response to the caller and records the
 * outcome.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { RecordedEnd } from "../claims/mod.ts";
import type { AdmittedRequest } from "../types.ts";
import type { UpstreamError } from "../upstreams/mod.ts";
import {
  createMayHaveRunReply,
  createNotRunReply,
  type FinalReply,
  OUTCOME_HEADER,
  REQUEST_HEADER,
} from "./reply.ts";
import type { Progress, RequestEnd, ServeHost } from "./types.ts";

/**
 * Creates the reply to a request that is not retried after its upstream failed.
 */
export function createFailureReply(
  err: UpstreamError,
  admitted: AdmittedRequest,
  progress: Progress,
): FinalReply {
  if (progress.nextOffset > 0) {
    const last = progress.nextOffset - 1;
    const args = [last, admitted.service, err.reason];
    return createMayHaveRunReply(502, "answerIncomplete", { args });
  }
  const args = [admitted.service, err.reason];
  return progress.mayHaveRun
    ? createMayHaveRunReply(502, "upstreamFailed", { args })
    : createNotRunReply(502, "upstreamFailed", { args, retryAfterMs: 1_000 });
}

/** Sends the response of a plain service. */
export function sendResponse(
  res: ServerResponse,
  request: string,
  response: RecordedEnd,
): void {
  if (res.destroyed) return;
  res.setHeader(OUTCOME_HEADER, "answered");
  res.setHeader(REQUEST_HEADER, request);
  res.writeHead(response.status, { "content-type": "application/json" });
  res.end(response.body);
}

/** Sends the last event of a complete stream. */
export function sendStreamEnd(
  res: ServerResponse,
  request: string,
  cost: number,
): void {
  const end = { outcome: "answered", cost, request };
  res.end(`event: end\ndata: ${JSON.stringify(end)}\n\n`);
}

/** Records the end of the request in the timeline, the metrics and the log. */
export function recordEnd(
  host: ServeHost,
  admitted: AdmittedRequest,
  end: {
    readonly outcome: RequestEnd["outcome"];
    readonly cost: number;
    readonly reason: string;
  },
): void {
  const { outcome, cost, reason } = end;
  const waitedMs = host.clock.monotonicMs() - admitted.arrivedMs;
  host.recorder.record({
    kind: "request-ended",
    request: admitted.id,
    team: admitted.team,
    outcome: outcome === "caller-lost" ? "may-have-run" : outcome,
    cost,
    reason,
  });
  host.onEnded(admitted.id, {
    outcome,
    team: admitted.team,
    service: admitted.service,
    cost,
    waitedMs,
    reason,
  });
}
