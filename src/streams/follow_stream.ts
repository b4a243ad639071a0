/**
 * Reads one stream of an engine to its last event. When a connection breaks,
 * goes silent or loses events, the stream is resumed at the same engine from
 * the next offset. Delivered events have no gaps and no repeats.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import {
  type EventStream,
  type StreamEvent,
  UpstreamError,
} from "../upstreams/mod.ts";

/** Progress of a stream across its connections. */
export interface StreamProgress {
  /** Next offset that the caller needs. */
  nextOffset: number;
  /** Tokens that the engine has generated, delivered or not. */
  cost: number;
}

/** Dependencies of following a stream. */
export interface FollowHost<E> {
  /** Opens the stream at the offset; fails with "forgotten" if it is gone. */
  resume(offset: number): Effect.Effect<EventStream, UpstreamError>;
  /** Sends a token to the caller; completes at the caller's reading speed. */
  deliver(event: StreamEvent): Effect.Effect<void, E>;
  onResumed(offset: number, reason: string): void;
}

/** Consecutive resumptions without a new token before the stream fails. */
export const MAX_STALLED_RESUMES = 3;

/** Reads the stream to its end; returns its cost in tokens. */
export function followStream<E>(
  first: EventStream,
  progress: StreamProgress,
  host: FollowHost<E>,
): Effect.Effect<number, UpstreamError | E> {
  return Effect.gen(function* () {
    let stream = first;
    let stalledResumes = 0;
    while (true) {
      const startOffset = progress.nextOffset;
      const result = yield* readToEnd(stream, progress, host);
      if (result.kind === "ended") return result.cost;
      stalledResumes = progress.nextOffset > startOffset
        ? 0
        : stalledResumes + 1;
      if (stalledResumes > MAX_STALLED_RESUMES) {
        return yield* Effect.fail(result.err);
      }
      stream = yield* host.resume(progress.nextOffset);
      host.onResumed(progress.nextOffset, result.err.reason);
    }
  });
}

type ReadResult =
  | { readonly kind: "ended"; readonly cost: number }
  | { readonly kind: "interrupted"; readonly err: UpstreamError };

function readToEnd<E>(
  stream: EventStream,
  progress: StreamProgress,
  host: FollowHost<E>,
): Effect.Effect<ReadResult, E> {
  return Effect.gen(function* () {
    while (true) {
      const event = yield* stream.next;
      if (event === undefined) {
        return yield* fail("broken", "The stream closed before its last event");
      }
      if (event.name === "end") {
        yield* checkComplete(event, progress);
        progress.cost = Math.max(progress.cost, getTokenCount(event));
        return { kind: "ended" as const, cost: progress.cost };
      }
      if (event.name === "token") yield* deliverToken(event, progress, host);
    }
  }).pipe(
    Effect.catch((err) =>
      err instanceof UpstreamError
        ? Effect.succeed<ReadResult>({ kind: "interrupted", err })
        : Effect.fail(err as E)
    ),
    Effect.ensuring(Effect.sync(() => stream.close())),
  );
}

function deliverToken<E>(
  event: StreamEvent,
  progress: StreamProgress,
  host: FollowHost<E>,
): Effect.Effect<void, UpstreamError | E> {
  const { offset } = event;
  // An event of an earlier connection, or one that a resumption repeated.
  if (offset < progress.nextOffset) return Effect.void;
  if (offset > progress.nextOffset) {
    return fail("gap", `Expected offset ${progress.nextOffset}, got ${offset}`);
  }
  progress.nextOffset = offset + 1;
  progress.cost = Math.max(progress.cost, progress.nextOffset);
  return host.deliver(event);
}

/** Fails if events before the last one are missing, so that they are resent. */
function checkComplete(
  end: StreamEvent,
  progress: StreamProgress,
): Effect.Effect<void, UpstreamError> {
  if (end.offset < 0 || end.offset === progress.nextOffset) return Effect.void;
  const reason =
    `Stream ended at offset ${end.offset}, expected ${progress.nextOffset}`;
  return fail("gap", reason);
}

function fail(
  failure: UpstreamError["failure"],
  reason: string,
): Effect.Effect<never, UpstreamError> {
  return Effect.fail(new UpstreamError({ failure, reason }));
}

function getTokenCount(end: StreamEvent): number {
  const parsed = JSON.parse(end.data) as { tokens?: number };
  return parsed.tokens ?? 0;
}
