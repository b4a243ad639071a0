/**
 * What requests need of upstreams, as functions. Another upstream protocol is
 * one new file that makes these.
 *
 * @module
 */

import * as Data from "effect/Data";
import type * as Effect from "effect/Effect";

/**
 * How a call failed. "refused": no connection, so certainly nothing was sent.
 * "rejected": the upstream answered that it did not run it. "broken": the
 * connection died. "silent": it stayed open and carried nothing. "gap": events
 * are missing. "forgotten": the stream can't be resumed. "held-back": this host
 * did not send it, since it has to wait its turn. "failed": any other.
 */
export type UpstreamFailure =
  | "refused"
  | "rejected"
  | "broken"
  | "silent"
  | "gap"
  | "forgotten"
  | "held-back"
  | "failed";

/** A call to an upstream that failed. */
export class UpstreamError extends Data.TaggedError("UpstreamError")<{
  readonly failure: UpstreamFailure;
  readonly reason: string;
}> {}

/** False only when the upstream certainly ran nothing. */
export function mayHaveRun(err: UpstreamError): boolean {
  return !wasNotSent(err) && err.failure !== "rejected";
}

/** True when not a byte of the call left this host for its upstream. */
export function wasNotSent(err: UpstreamError): boolean {
  return err.failure === "refused" || err.failure === "held-back";
}

/** One event of an engine's stream. */
export interface StreamEvent {
  /** "token" for a part of the answer, "end" for the last event. */
  readonly name: string;
  /** Position in the stream; of the end, the number of parts. -1: not told. */
  readonly offset: number;
  readonly data: string;
}

/** An open stream of an engine. */
export interface EventStream {
  /** The next event; `undefined` when the stream closed. */
  readonly next: Effect.Effect<StreamEvent | undefined, UpstreamError>;
  close(): void;
}

/** A plain service's answer. */
export interface PlainResponse {
  readonly status: number;
  readonly body: string;
}

/** A stream at an engine. */
export interface StreamLocation {
  /** IP address and port. */
  readonly address: string;
  readonly stream: string;
}

/** Work for an engine. */
export interface GenerateCall extends StreamLocation {
  readonly body: string;
  /** Time for which the answer is of use, in ms; told to the engine. */
  readonly remainingMs: number;
}

/** A call of a plain service. */
export interface PlainCall {
  readonly address: string;
  readonly operation: string;
  readonly request: string;
  readonly idempotencyKey: string;
  readonly body: string;
  /** Told to the service; the connection is closed after so many ms. */
  readonly timeoutMs: number;
}

/** What a cancellation came to. */
export type CancelResult =
  /** The engine no longer works on the stream. */
  | { readonly kind: "gone"; readonly tokens: number }
  /** Another host reads the stream, so it goes on. */
  | { readonly kind: "being-read" };

/** Calls to upstreams. */
export interface UpstreamClient {
  generate(call: GenerateCall): Effect.Effect<EventStream, UpstreamError>;
  /** Fails with "forgotten" when the engine does not know the stream. */
  resume(
    place: StreamLocation,
    offset: number,
  ): Effect.Effect<EventStream, UpstreamError>;
  /** Cancels the stream unless someone reads it. */
  cancelIfUnread(
    place: StreamLocation,
  ): Effect.Effect<CancelResult, UpstreamError>;
  /** Cannot be interrupted: the upstream would go on with it all the same. */
  call(call: PlainCall): Effect.Effect<PlainResponse, UpstreamError>;
}
