/**
 * Handles `GET /v1/streams/{token}?offset=N`: resumes a stream that any host of
 * the fleet started, for example after that host died. It takes no slot, since
 * the engine is already working on the stream.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import * as Effect from "effect/Effect";
import { type StreamReference, tryVerifyResumeToken } from "../streams/mod.ts";
import type { Deployment, Upstream } from "../types.ts";
import type { UpstreamError } from "../upstreams/mod.ts";
import type { CallerLost } from "./caller.ts";
import { sendStreamEnd } from "./end.ts";
import { authenticate, reject, type RequestRejected } from "./parse.ts";
import { createMayHaveRunReply, createNotRunReply } from "./reply.ts";
import { runOnEngine } from "./run_on_engine.ts";
import { createProgress, type Progress, type ServeHost } from "./types.ts";

/** Path prefix of streams. */
export const STREAMS_PATH = "/v1/streams/";

/** A parsed request to resume a stream. */
interface Resumption {
  readonly name: StreamReference;
  readonly upstream: Upstream;
  readonly offset: number;
}

/** Resumes a stream and delivers it to its end. */
export function resumeStream(
  host: ServeHost,
  deployment: Deployment,
  exchange: {
    readonly request: string;
    readonly req: IncomingMessage;
    readonly res: ServerResponse;
  },
): Effect.Effect<void, RequestRejected | CallerLost> {
  const { request, req, res } = exchange;
  return Effect.gen(function* () {
    const team = yield* authenticate(req, deployment.teams);
    const resumption = yield* readResumption(host, deployment, req, team.id);
    const { name, upstream, offset } = resumption;
    const service = deployment.services.find((each) =>
      each.id === name.service
    );
    const progress = createProgress();
    progress.nextOffset = offset;
    const place = { address: upstream.address, stream: name.stream };
    const cost = yield* runOnEngine(host, {
      request,
      name,
      upstream,
      res,
      progress,
      deadlineMs: host.clock.monotonicMs() + (service?.maxDeadlineMs ?? 0),
      open: host.upstreams.resume(place, offset),
    }).pipe(
      Effect.ensuring(
        Effect.sync(() => scheduleCharge(host, resumption, progress)),
      ),
      Effect.catchTag(
        "UpstreamError",
        (err) => reject(createResumeFailureReply(err, resumption, progress)),
      ),
    );
    sendStreamEnd(res, request, cost);
  });
}

function scheduleCharge(
  host: ServeHost,
  resumption: Resumption,
  progress: Progress,
): void {
  const pendingWork = progress.pendingUpstreamWork ?? Effect.succeed(0);
  host.runDetached(pendingWork.pipe(Effect.map((tokens) => {
    progress.cost = Math.max(progress.cost, tokens);
    chargeUndelivered(host, resumption, progress);
  })));
}

/**
 * Charges the tokens that the host which started the stream has not charged.
 * That host charges what it delivered, unless it is dead; then the whole stream
 * is charged here.
 */
function chargeUndelivered(
  host: ServeHost,
  resumption: Resumption,
  progress: Progress,
): void {
  const { name, offset } = resumption;
  const isPrefixCharged = !host.isProcessDead(name.host, name.incarnation);
  const cost = progress.cost - (isPrefixCharged ? offset : 0);
  if (cost > 0) host.charge(name.service, name.team, cost);
}

function readResumption(
  host: ServeHost,
  deployment: Deployment,
  req: IncomingMessage,
  team: string,
): Effect.Effect<Resumption, RequestRejected> {
  const url = new URL(req.url ?? "/", "http://router");
  const token = url.pathname.slice(STREAMS_PATH.length);
  const name = tryVerifyResumeToken(token, host.fleetSecret);
  if (name === undefined || name.team !== team) {
    return reject(createNotRunReply(403, "badResumeToken"));
  }
  const text = url.searchParams.get("offset") ?? "0";
  const offset = Number(text);
  if (!Number.isInteger(offset) || offset < 0) {
    return reject(createNotRunReply(400, "badOffset", { args: [text] }));
  }
  const upstream = deployment.upstreams.find((each) =>
    each.id === name.upstream
  );
  if (upstream === undefined) {
    const args = ["its upstream is no longer configured"];
    return reject(createMayHaveRunReply(410, "resumeGone", { args }));
  }
  return Effect.succeed({ name, upstream, offset });
}

function createResumeFailureReply(
  err: UpstreamError,
  resumption: Resumption,
  progress: Progress,
) {
  const { offset, upstream } = resumption;
  if (progress.nextOffset > offset) {
    const args = [progress.nextOffset - 1, upstream.id, err.reason];
    return createMayHaveRunReply(502, "answerIncomplete", { args });
  }
  return createMayHaveRunReply(410, "resumeGone", { args: [err.reason] });
}
