/**
 * Runs one attempt of a request as a stream of an engine, or resumes a stream
 * that another host started, and delivers the events to the caller.
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
  type EventStream,
  mayHaveRun,
  type StreamLocation,
  UpstreamError,
} from "../upstreams/mod.ts";
import { type CallerLost, writeToCaller } from "./caller.ts";
import { REQUEST_HEADER, RESUME_HEADER } from "./reply.ts";
import type { Progress, ServeHost } from "./types.ts";

/** Input of an attempt. */
export interface EngineAttempt {
  readonly request: string;
  readonly name: StreamReference;
  readonly upstream: Upstream;
  readonly res: ServerResponse;
  readonly progress: Progress;
  /** Deadline of the caller, in monotonic milliseconds. */
  readonly deadlineMs: number;
  /** Opens the stream. */
  readonly open: Effect.Effect<EventStream, UpstreamError>;
}

/** Streams the response to the caller; returns its cost in tokens. */
export function runOnEngine(
  host: ServeHost,
  attempt: EngineAttempt,
): Effect.Effect<number, UpstreamError | CallerLost> {
  const { progress, upstream } = attempt;
  const place: StreamLocation = {
    address: upstream.address,
    stream: attempt.name.stream,
  };
  return Effect.gen(function* () {
    const startMs = host.clock.monotonicMs();
    progress.isSent = true;
    const stream = yield* openStream(host, attempt, place);
    progress.mayHaveRun = true;
    const time = (each: EventStream) =>
      measureTokenTimes(host, each, attempt, startMs);
    return yield* followStream<CallerLost>(time(stream), progress, {
      resume: (offset) =>
        host.upstreams.resume(place, offset).pipe(Effect.map(time)),
      deliver: (event) => {
        sendHeaders(host, attempt);
        const { offset, data } = event;
        const text = `id: ${offset}\nevent: token\ndata: ${data}\n\n`;
        return writeToCaller(attempt.res, text);
      },
      onResumed: (offset) =>
        host.recorder.record({
          kind: "stream-resumed",
          request: attempt.request,
          team: attempt.name.team,
          upstream: upstream.id,
          offset,
        }),
    });
  }).pipe(
    Effect.tap(() => Effect.sync(() => sendHeaders(host, attempt))),
    Effect.onExit((exit) =>
      Effect.sync(() => {
        if (!progress.isSent || !mayStillRun(exit)) return;
        progress.pendingUpstreamWork = cancelAbandonedStream(place, {
          upstreams: host.upstreams,
          mayCallerResume: () => !host.isDraining() && !isUpstreamFailure(exit),
          isPastDeadline: () => host.clock.monotonicMs() > attempt.deadlineMs,
        });
      })
    ),
  );
}

/**
 * Measures how long the engine takes for each token. Time that the caller takes
 * to read does not count: a slow caller must not look like a slow engine.
 */
function measureTokenTimes(
  host: ServeHost,
  stream: EventStream,
  attempt: EngineAttempt,
  startMs: number,
): EventStream {
  const { progress } = attempt;
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
 * Opens the stream. A call whose connection broke before the response started
 * may have started the stream all the same, so the engine is asked for that
 * stream before anything else is tried.
 */
function openStream(
  host: ServeHost,
  attempt: EngineAttempt,
  place: StreamLocation,
): Effect.Effect<EventStream, UpstreamError> {
  return attempt.open.pipe(
    Effect.catchTag("UpstreamError", (err) => {
      if (err.failure === "refused") attempt.progress.isSent = false;
      if (!mayHaveRun(err) || err.failure === "forgotten") {
        return Effect.fail(err);
      }
      attempt.progress.mayHaveRun = true;
      return host.upstreams.resume(place, attempt.progress.nextOffset);
    }),
  );
}

function sendHeaders(host: ServeHost, attempt: EngineAttempt): void {
  const { res } = attempt;
  if (res.headersSent || res.destroyed) return;
  res.setHeader(REQUEST_HEADER, attempt.request);
  res.setHeader(
    RESUME_HEADER,
    createResumeToken(attempt.name, host.fleetSecret),
  );
  res.writeHead(200, { "content-type": "text/event-stream" });
}

type RunExit = Exit.Exit<number, UpstreamError | CallerLost>;

/**
 * Whether the engine may still be working on the stream: true unless it
 * reported that the stream ended or does not exist. An interrupted attempt has
 * lost its caller.
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
 * Whether the failure looks as if the upstream's process ended while it ran the
 * request. A connection that was refused at the start does not count.
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
