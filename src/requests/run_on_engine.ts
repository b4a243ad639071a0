/**
 * One run of a request as a stream of an engine, passed on event by event. Also
 * the resumption of a stream that another host began.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import * as Effect from "effect/Effect";
import * as Exit from "effect/Exit";
import {
  cancelAbandonedStream,
  createResumeToken,
  followStream,
  type StreamReference,
} from "../streams/mod.ts";
import type { Upstream } from "../types.ts";
import {
  type AnswerStream,
  mayHaveRun,
  type StreamPlace,
  UpstreamError,
} from "../upstreams/mod.ts";
import { type CallerLost, writeToCaller } from "./caller.ts";
import { REQUEST_HEADER, RESUME_HEADER } from "./reply.ts";
import type { Progress, ServeHost } from "./types.ts";

/** What a run needs. */
export interface EngineRun {
  readonly request: string;
  readonly name: StreamReference;
  readonly upstream: Upstream;
  readonly res: ServerResponse;
  readonly progress: Progress;
  /** Monotonic milliseconds after which nobody wants the answer. */
  readonly deadlineMs: number;
  /** Opens the stream for the first time. */
  readonly open: Effect.Effect<AnswerStream, UpstreamError>;
}

/** Streams the answer to the caller; gives its cost in tokens. */
export function runOnEngine(
  host: ServeHost,
  run: EngineRun,
): Effect.Effect<number, UpstreamError | CallerLost> {
  const { progress, upstream } = run;
  const place: StreamPlace = {
    address: upstream.address,
    stream: run.name.stream,
  };
  return Effect.gen(function* () {
    const startMs = host.clock.monotonicMs();
    progress.isSent = true;
    const stream = yield* openFirst(host, run, place);
    progress.mayHaveRun = true;
    const time = (each: AnswerStream) => timeTokens(host, each, run, startMs);
    return yield* followStream<CallerLost>(time(stream), progress, {
      resume: (offset) =>
        host.upstreams.resume(place, offset).pipe(Effect.map(time)),
      deliver: (event) => {
        sendHead(host, run);
        const { offset, data } = event;
        const text = `id: ${offset}\nevent: token\ndata: ${data}\n\n`;
        return writeToCaller(run.res, text);
      },
      onResumed: (offset) =>
        host.recorder.record({
          kind: "stream-resumed",
          request: run.request,
          team: run.name.team,
          upstream: upstream.id,
          offset,
        }),
    });
  }).pipe(
    Effect.tap(() => Effect.sync(() => sendHead(host, run))),
    Effect.onExit((exit) =>
      Effect.sync(() => {
        if (!progress.isSent || !mayStillRun(exit)) return;
        progress.leftover = cancelAbandonedStream(place, {
          upstreams: host.upstreams,
          mayCallerResume: () => !host.isDraining() && !isUpstreamFailure(exit),
          isPastDeadline: () => host.clock.monotonicMs() > run.deadlineMs,
        });
      })
    ),
  );
}

/**
 * Takes in how long the engine took for each token. Time that the caller takes
 * to read does not count: a slow caller must not look like a slow engine.
 */
function timeTokens(
  host: ServeHost,
  stream: AnswerStream,
  run: EngineRun,
  startMs: number,
): AnswerStream {
  const { progress } = run;
  const next = Effect.suspend(() => {
    const askedMs = host.clock.monotonicMs();
    return stream.next.pipe(Effect.tap((event) =>
      Effect.sync(() => {
        if (event?.name !== "token") return;
        const nowMs = host.clock.monotonicMs();
        if (progress.firstByteMs === 0) {
          progress.firstByteMs = nowMs - startMs;
          return;
        }
        progress.tokenWaitMs += nowMs - askedMs;
        progress.laterTokens++;
      })
    ));
  });
  return { next, close: stream.close };
}

/**
 * A call that broke before its answer began may have begun all the same: the
 * engine is asked for the stream before anything else is tried.
 */
function openFirst(
  host: ServeHost,
  run: EngineRun,
  place: StreamPlace,
): Effect.Effect<AnswerStream, UpstreamError> {
  return run.open.pipe(
    Effect.catchTag("UpstreamError", (err) => {
      if (err.failure === "refused") run.progress.isSent = false;
      if (!mayHaveRun(err) || err.failure === "forgotten") {
        return Effect.fail(err);
      }
      run.progress.mayHaveRun = true;
      return host.upstreams.resume(place, run.progress.nextOffset);
    }),
  );
}

function sendHead(host: ServeHost, run: EngineRun): void {
  const { res } = run;
  if (res.headersSent || res.destroyed) return;
  res.setHeader(REQUEST_HEADER, run.request);
  res.setHeader(RESUME_HEADER, createResumeToken(run.name, host.fleetSecret));
  res.writeHead(200, { "content-type": "text/event-stream" });
}

type RunExit = Exit.Exit<number, UpstreamError | CallerLost>;

/**
 * True unless the engine told that the stream ended or that it has none. A run
 * that was interrupted lost its caller.
 */
function mayStillRun(exit: RunExit): boolean {
  if (Exit.isSuccess(exit)) return false;
  return !exit.cause.reasons.some((reason) =>
    reason._tag === "Fail" && reason.error instanceof UpstreamError &&
    hasNoStream(reason.error)
  );
}

function hasNoStream(err: UpstreamError): boolean {
  return err.failure === "refused" || err.failure === "forgotten" ||
    err.failure === "rejected";
}

function isUpstreamFailure(exit: RunExit): boolean {
  if (Exit.isSuccess(exit)) return false;
  return exit.cause.reasons.some((reason) =>
    reason._tag === "Fail" && reason.error instanceof UpstreamError
  );
}

/**
 * True for a failure that looks like the end of the upstream's process while the
 * request ran there. A connection that was refused at the start is none.
 */
export function looksLikeCrash(
  err: UpstreamError,
  progress: Progress,
): boolean {
  if (!progress.isSent) return false;
  const { failure } = err;
  return failure === "broken" || failure === "forgotten" ||
    failure === "refused";
}
