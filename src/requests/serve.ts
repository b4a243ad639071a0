/**
 * Serves one request in sequence: parse, admit, claim, wait for a slot, run,
 * end. A single fiber runs it; when the caller disconnects the fiber is
 * interrupted, and each step releases what it holds.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import type { IncomingMessage, ServerResponse } from "node:http";
import * as Effect from "effect/Effect";
import type { AdmittedRequest } from "../types.ts";
import { admit } from "./admit.ts";
import { type CallerLost, failOnDisconnect, sendHeartbeats } from "./caller.ts";
import { recordEnd } from "./end.ts";
import {
  parseCall,
  type ParsedCall,
  reject,
  type RequestRejected,
} from "./parse.ts";
import {
  createMayHaveRunReply,
  createNotRunReply,
  sendReply,
} from "./reply.ts";
import { resumeStream, STREAMS_PATH } from "./resume_stream.ts";
import { runIdempotent } from "./run_idempotent.ts";
import { runAtMostOnce } from "./run_at_most_once.ts";
import { checkQuarantine } from "./run_suspect.ts";
import type { ServeHost } from "./types.ts";

/** Serves one request to its end; never fails. */
export function serveRequest(
  host: ServeHost,
  req: IncomingMessage,
  res: ServerResponse,
): Effect.Effect<void> {
  const request = randomUUID();
  const served = Effect.gen(function* () {
    const deployment = host.getDeployment();
    if (deployment === undefined) {
      const args = ["no configuration is in force"];
      return yield* reject(
        createNotRunReply(503, "notReady", { args, retryAfterMs: 1_000 }),
      );
    }
    if (req.url?.startsWith(STREAMS_PATH)) {
      return yield* resumeStream(host, deployment, { request, req, res });
    }
    const call = yield* parseCall(req, deployment);
    yield* admitAndRun(host, request, call, res);
  });
  return served.pipe(
    Effect.raceFirst(failOnDisconnect(res)),
    Effect.raceFirst(sendHeartbeats(req, res)),
    Effect.catchTag(
      "RequestRejected",
      (err) => Effect.sync(() => sendReply(res, err.reply, request)),
    ),
    Effect.catchTag("CallerLost", () => Effect.void),
    Effect.catchCause((cause) =>
      Effect.sync(() => {
        const reply = createMayHaveRunReply(500, "internalError", {
          args: [String(cause)],
        });
        sendReply(res, reply, request);
      })
    ),
  );
}

function admitAndRun(
  host: ServeHost,
  request: string,
  call: ParsedCall,
  res: ServerResponse,
): Effect.Effect<void, RequestRejected | CallerLost> {
  const nowMs = host.clock.monotonicMs();
  const admitted: AdmittedRequest = {
    id: request,
    team: call.team.id,
    service: call.service.id,
    operation: call.operation.name,
    arrivedMs: nowMs,
    deadlineMs: nowMs + call.timeoutMs,
    expectedCost: call.costHint ?? call.service.expectedCost,
    fingerprint: call.fingerprint,
  };
  return Effect.gen(function* () {
    yield* checkQuarantine(host, admitted.fingerprint, false);
    yield* admit(host, admitted, call);
    if (call.operation.idempotent) {
      yield* runIdempotent(host, admitted, call, res);
    } else {
      yield* runAtMostOnce(host, admitted, call, res);
    }
  }).pipe(
    Effect.tapError((err) =>
      Effect.sync(() => {
        const end = err._tag === "CallerLost"
          ? { outcome: "caller-lost" as const, reason: err.reason }
          : { outcome: err.reply.outcome, reason: err.reply.message };
        recordEnd(host, admitted, { ...end, cost: 0 });
      })
    ),
    Effect.onInterrupt(() =>
      Effect.sync(() => {
        const reason = "The caller disconnected";
        recordEnd(host, admitted, { outcome: "caller-lost", cost: 0, reason });
      })
    ),
  );
}
