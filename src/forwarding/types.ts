/**
 * What forwarding needs to know of a request and its answer, whatever the names
 * of the headers that carry it. The codec of the platform reads and writes them.
 *
 * @module
 */

import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import * as Data from "effect/Data";

/** A part of a prompt, shared by all requests that name it. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a model request says of its prompt. */
export interface Prompt {
  readonly model: string;
  readonly promptTokens: number;
  /** Most tokens that the answer may have. */
  readonly maxOutputTokens: number;
  /** In order; an upstream that keeps the first ones reads only the rest. */
  readonly parts: readonly PromptPart[];
}

/** A request's headers, as far as the system decides by them. */
export interface CallHeaders {
  /** Chosen by the caller, new for each try; echoed by the upstream. */
  readonly requestId: string;
  /** How long the caller waits, in ms, from when it sent the request. */
  readonly callerTimeoutMs: number | undefined;
  readonly key: string | undefined;
  readonly prompt: Prompt | undefined;
  /** The caller has the stream's events up to this one. */
  readonly lastEventId: string | undefined;
}

/** What the system sets on the way to an upstream. */
export interface ForwardedHeaders {
  readonly remainingMs: number;
  /** An upstream of another id refuses instead of running the request. */
  readonly upstreamId: string;
  readonly team: string | undefined;
  readonly lastEventId: string | undefined;
}

/** An answer's headers, as far as the system decides by them. */
export interface ResponseHeaders {
  readonly requestId: string | undefined;
  /** An upstream made the answer, and no machine on the way. */
  readonly isSealed: boolean;
  /** The upstream says that it has not run the request, nor will. */
  readonly isNotRun: boolean;
  /** The upstream says that it leaves. */
  readonly isLeaving: boolean;
  /** How long it wants no request from this host; absent where it says nothing. */
  readonly backoff: RequestedBackoff | undefined;
}

/** A rest that an upstream asks for, or what can't be read as one. */
export type RequestedBackoff =
  | { readonly kind: "for"; readonly ms: number }
  | { readonly kind: "unreadable"; readonly text: string };

/** Reads and writes the headers of the platform. */
export interface CallCodec {
  /** `undefined` for a request without a usable id. */
  tryReadCall(req: IncomingMessage): CallHeaders | undefined;
  /** Name and value by turns, from those of the caller's that go on. */
  createUpstreamHeaders(
    rawHeaders: readonly string[],
    forwarded: ForwardedHeaders,
  ): string[];
  readResponseHeaders(
    status: number,
    headers: IncomingHttpHeaders,
  ): ResponseHeaders;
  /** Headers of an answer of the system's own. */
  createRejectionHeaders(reply: RejectionHeaders): Record<string, string>;
}

/** What an answer of the system's own tells in its headers. */
export interface RejectionHeaders {
  readonly requestId: string | undefined;
  /** When to come back; only on answers that say "not run". */
  readonly retryAfterMs: number | undefined;
}

/**
 * An attempt that gave no answer to pass on.
 *
 * - `not-sent`: no connection; no byte of the request has left this host.
 * - `unwanted`: like `not-sent`; while the connection was made the upstream has
 *   said that it leaves or wants a rest.
 * - `not-run`: the upstream says that it has not run it, nor will.
 * - `broken`: it was sent and may have run.
 * - `silent`: like `broken`; nothing at all came in the time allowed.
 */
export class AttemptFailed extends Data.TaggedError("AttemptFailed")<{
  readonly kind: "not-sent" | "unwanted" | "not-run" | "broken" | "silent";
  readonly reason: string;
}> {}
