/**
 * Admission of a request: records the decision, and creates the reply to a
 * refused request.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import * as Effect from "effect/Effect";
import type { AdmittedRequest } from "../types.ts";
import { type ParsedCall, reject, type RequestRejected } from "./parse.ts";
import { createNotRunReply } from "./reply.ts";
import type { ServeHost } from "./types.ts";

/** Admits the request, or fails with the reply that refuses it. */
export function admit(
  host: ServeHost,
  admitted: AdmittedRequest,
  call: ParsedCall,
): Effect.Effect<void, RequestRejected> {
  const teamQueued = host.backlog.getTeamQueued(
    admitted.team,
    admitted.service,
  );
  const decision = host.backlog.decide({
    req: admitted,
    bodyBytes: Buffer.byteLength(call.body),
    maxQueued: call.team.maxQueued,
    isDraining: host.isDraining(),
  });
  if (decision.kind === "admitted") {
    host.recorder.record({
      kind: "request-admitted",
      request: admitted.id,
      team: admitted.team,
      service: admitted.service,
      queued: teamQueued,
    });
    return Effect.void;
  }
  host.recorder.record({
    kind: "request-refused",
    request: admitted.id,
    team: admitted.team,
    reason: decision.reason,
    retryAfterMs: decision.retryAfterMs,
  });
  const { retryAfterMs } = decision;
  switch (decision.reason) {
    case "draining":
      return reject(createNotRunReply(503, "draining", { retryAfterMs }));
    case "queue-full":
      return reject(createNotRunReply(429, "queueFull", {
        args: [teamQueued, admitted.service],
        retryAfterMs,
      }));
    case "host-full":
      return reject(createNotRunReply(503, "hostFull", {
        args: [host.backlog.getUse().requests],
        retryAfterMs,
      }));
    case "deadline-unreachable":
      return reject(createNotRunReply(503, "deadlineUnreachable", {
        args: [Math.round(call.timeoutMs)],
        retryAfterMs,
      }));
  }
}
