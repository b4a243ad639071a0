/**
 * `GET /v1/streams/{token}?offset=N`: goes on with a stream that any host of the
 * fleet began, as after that host died. It takes no slot: the engine works on
 * the stream already.
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
import { createMayHaveRun, createNotRun } from "./reply.ts";
import { runOnEngine } from "./run_on_engine.ts";
import { createProgress, type Progress, type ServeHost } from "./types.ts";

/** Paths of streams start with this. */
export const STREAMS_PATH = "/v1/streams/";

/** What a resumption asks for. */
interface Resumption {
  readonly name: StreamReference;
  readonly upstream: Upstream;
  readonly offset: number;
}

/** Serves one resumption to its end. */
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
        Effect.sync(() => chargeLater(host, resumption, progress)),
      ),
      Effect.catchTag(
        "UpstreamError",
        (err) => reject(toGone(err, resumption, progress)),
      ),
    );
    sendStreamEnd(res, request, cost);
  });
}

function chargeLater(
  host: ServeHost,
  resumption: Resumption,
  progress: Progress,
): void {
  const leftover = progress.leftover ?? Effect.succeed(0);
  host.runDetached(leftover.pipe(Effect.map((tokens) => {
    progress.cost = Math.max(progress.cost, tokens);
    chargeRest(host, resumption, progress);
  })));
}

/**
 * The host that began the stream charges what it passed on, unless it is dead:
 * then the whole stream is charged here.
 */
function chargeRest(
  host: ServeHost,
  resumption: Resumption,
  progress: Progress,
): void {
  const { name, offset } = resumption;
  const isCharged = !host.isProcessGone(name.host, name.incarnation);
  const cost = progress.cost - (isCharged ? offset : 0);
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
    return reject(createNotRun(403, "badResumeToken"));
  }
  const text = url.searchParams.get("offset") ?? "0";
  const offset = Number(text);
  if (!Number.isInteger(offset) || offset < 0) {
    return reject(createNotRun(400, "badOffset", { args: [text] }));
  }
  const upstream = deployment.upstreams.find((each) =>
    each.id === name.upstream
  );
  if (upstream === undefined) {
    const args = ["its upstream is no longer declared"];
    return reject(createMayHaveRun(410, "resumeGone", { args }));
  }
  return Effect.succeed({ name, upstream, offset });
}

function toGone(
  err: UpstreamError,
  resumption: Resumption,
  progress: Progress,
) {
  const { offset, upstream } = resumption;
  if (progress.nextOffset > offset) {
    const args = [progress.nextOffset - 1, upstream.id, err.reason];
    return createMayHaveRun(502, "answerIncomplete", { args });
  }
  return createMayHaveRun(410, "resumeGone", { args: [err.reason] });
}
