/**
 * The interface through which requests use upstreams. Another upstream protocol
 * needs only another implementation of `UpstreamClient`.
 *
 * @module
 */

import * as Data from "effect/Data";
import type * as Effect from "effect/Effect";

/**
 * How a call failed.
 *
 * - `refused`: no connection was made, so that nothing was sent.
 * - `rejected`: the upstream responded that it did not run the call.
 * - `broken`: the connection broke.
 * - `silent`: the connection stayed open, but nothing arrived.
 * - `gap`: events are missing.
 * - `forgotten`: the stream cannot be resumed.
 * - `held-back`: this host did not send the call, because its content is
 *   suspected of crashes and first needs an exclusive lock.
 * - `failed`: any other failure.
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

/**
 * Whether the upstream may have run the call. False only if it certainly did
 * not.
 */
export function mayHaveRun(err: UpstreamError): boolean {
  return !wasNotSent(err) && err.failure !== "rejected";
}

/** Whether no byte of the call left this host for its upstream. */
export function wasNotSent(err: UpstreamError): boolean {
  return err.failure === "refused" || err.failure === "held-back";
}

/** One event of an engine's stream. */
export interface StreamEvent {
  /** "token" for a part of the response, "end" for the last event. */
  readonly name: string;
  /**
   * Position in the stream; for the last event, the number of parts. -1 if the
   * event has none.
   */
  readonly offset: number;
  readonly data: string;
}

/** An open stream of an engine. */
export interface EventStream {
  /** Reads the next event; `undefined` when the stream has been closed. */
  readonly next: Effect.Effect<StreamEvent | undefined, UpstreamError>;
  close(): void;
}

/** The response of a plain service. */
export interface PlainResponse {
  readonly status: number;
  readonly body: string;
}

/** Identifies a stream at an engine. */
export interface StreamLocation {
  /** IP address and port. */
  readonly address: string;
  readonly stream: string;
}

/** A call that starts a stream at an engine. */
export interface GenerateCall extends StreamLocation {
  readonly body: string;
  /** Time for which the response is useful, in ms; sent to the engine. */
  readonly remainingMs: number;
}

/** A call to a plain service. */
export interface PlainCall {
  readonly address: string;
  readonly operation: string;
  readonly request: string;
  readonly idempotencyKey: string;
  readonly body: string;
  /**
   * Time-out in ms; sent to the service. The connection is closed when it
   * expires.
   */
  readonly timeoutMs: number;
}

/** The result of a cancellation. */
export type CancelResult =
  /** The engine has stopped working on the stream. */
  | { readonly kind: "gone"; readonly tokens: number }
  /** Another host reads the stream, which therefore continues. */
  | { readonly kind: "being-read" };

/** Calls to upstreams. */
export interface UpstreamClient {
  generate(call: GenerateCall): Effect.Effect<EventStream, UpstreamError>;
  /** Fails with "forgotten" when the engine does not know the stream. */
  resume(
    place: StreamLocation,
    offset: number,
  ): Effect.Effect<EventStream, UpstreamError>;
  /** Cancels the stream unless a host reads it. */
  cancelIfUnread(
    place: StreamLocation,
  ): Effect.Effect<CancelResult, UpstreamError>;
  /**
   * Cannot be interrupted, since the upstream would run the call to its end
   * anyway.
   */
  call(call: PlainCall): Effect.Effect<PlainResponse, UpstreamError>;
}
