/**
 * Follows one stream of an engine to its last event, through connections that
 * break, go silent or lose events: each time it asks the same engine to go on
 * from the next offset. What it passes on has no gap and no repeat.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import {
  type EventStream,
  type StreamEvent,
  UpstreamError,
} from "../upstreams/mod.ts";

/** How far a stream has come; outlives one connection. */
export interface StreamProgress {
  /** Next offset that the caller needs. */
  nextOffset: number;
  /** Work done so far in tokens, delivered or not. */
  cost: number;
}

/** What following needs. */
export interface FollowHost<E> {
  /** Opens the stream from the offset on; "forgotten" when it is gone. */
  resume(offset: number): Effect.Effect<EventStream, UpstreamError>;
  /** Passes a part on to the caller, at the caller's pace. */
  deliver(event: StreamEvent): Effect.Effect<void, E>;
  onResumed(offset: number, reason: string): void;
}

/** Resumptions in a row that bring no event, before the stream is given up. */
export const MAX_FRUITLESS_RESUMES = 3;

/** Follows the stream; gives its cost in tokens. */
export function followStream<E>(
  first: EventStream,
  progress: StreamProgress,
  host: FollowHost<E>,
): Effect.Effect<number, UpstreamError | E> {
  return Effect.gen(function* () {
    let stream = first;
    let fruitless = 0;
    while (true) {
      const startOffset = progress.nextOffset;
      const result = yield* readToEnd(stream, progress, host);
      if (result.kind === "ended") return result.cost;
      fruitless = progress.nextOffset > startOffset ? 0 : fruitless + 1;
      if (fruitless > MAX_FRUITLESS_RESUMES) {
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
        progress.cost = Math.max(progress.cost, getTokens(event));
        return { kind: "ended" as const, cost: progress.cost };
      }
      if (event.name === "token") yield* takeToken(event, progress, host);
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

function takeToken<E>(
  event: StreamEvent,
  progress: StreamProgress,
  host: FollowHost<E>,
): Effect.Effect<void, UpstreamError | E> {
  const { offset } = event;
  // Late and repeated events of an earlier connection, or of a resumption.
  if (offset < progress.nextOffset) return Effect.void;
  if (offset > progress.nextOffset) {
    return fail("gap", `Expected ${progress.nextOffset}, got ${offset}`);
  }
  progress.nextOffset = offset + 1;
  progress.cost = Math.max(progress.cost, progress.nextOffset);
  return host.deliver(event);
}

/** An engine that lost events before the last one must send them again. */
function checkComplete(
  end: StreamEvent,
  progress: StreamProgress,
): Effect.Effect<void, UpstreamError> {
  if (end.offset < 0 || end.offset === progress.nextOffset) return Effect.void;
  const reason = `Ended at ${end.offset}, got up to ${progress.nextOffset}`;
  return fail("gap", reason);
}

function fail(
  failure: UpstreamError["failure"],
  reason: string,
): Effect.Effect<never, UpstreamError> {
  return Effect.fail(new UpstreamError({ failure, reason }));
}

function getTokens(end: StreamEvent): number {
  const parsed = JSON.parse(end.data) as { tokens?: number };
  return parsed.tokens ?? 0;
}
