/**
 * The parts of requests and responses by which forwarding decides, independent
 * of the names of the headers that carry them. A `CallCodec` for the platform's
 * protocol reads and writes those headers.
 *
 * @module
 */

import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import * as Data from "effect/Data";
import type { ConnectResult } from "../crashes/mod.ts";
import type { SilencePhase } from "../diagnostics/mod.ts";

/** One part of a prompt. Requests that name the same part id share its text. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** A description of the prompt, from the headers of a model request. */
export interface Prompt {
  readonly model: string;
  readonly promptTokens: number;
  /** Upper bound on the number of generated tokens. */
  readonly maxOutputTokens: number;
  /**
   * In prompt order. An upstream that has a prefix of them cached prefills only
   * the rest.
   */
  readonly parts: readonly PromptPart[];
}

/** The request headers by which the system decides. */
export interface CallHeaders {
  /**
   * Chosen by the caller, unique for each attempt, and echoed by the upstream.
   */
  readonly requestId: string;
  /** Time-out of the caller in ms, counted from when it sent the request. */
  readonly callerTimeoutMs: number | undefined;
  readonly key: string | undefined;
  readonly prompt: Prompt | undefined;
  /** Id of the last stream event that the caller has already received. */
  readonly lastEventId: string | undefined;
  /**
   * Id of the request that brought the first event of the stream that this
   * request takes up, over any number of tries; `undefined` if it names none.
   */
  readonly resumedRequestId: string | undefined;
}

/**
 * Headers that the system adds to a request before it sends it to an upstream.
 */
export interface ForwardedHeaders {
  readonly remainingMs: number;
  /**
   * An upstream with a different id rejects the request instead of running it.
   */
  readonly upstreamId: string;
  readonly team: string | undefined;
  readonly lastEventId: string | undefined;
  /**
   * `IP:PORT` of the upstream from which it fetches the prompt's shared prefix;
   * absent if it fetches none.
   */
  readonly fetchFrom?: string | undefined;
}

/** The response headers by which the system decides. */
export interface ResponseHeaders {
  readonly requestId: string | undefined;
  /**
   * Whether the response carries the seal that only upstreams add. A response
   * without it comes from an intermediary.
   */
  readonly isSealed: boolean;
  /** The upstream states that it has not run the request and never will. */
  readonly isNotRun: boolean;
  /** The upstream states that it is leaving, and takes no new requests. */
  readonly isLeaving: boolean;
  /**
   * Id of the upstream that answers at this address and rejects requests for
   * another one; `undefined` if the response names none.
   */
  readonly rejectedBy: string | undefined;
  /**
   * The back-off that the upstream asks of this host; `undefined` if it asks
   * for none.
   */
  readonly backoff: RequestedBackoff | undefined;
  /**
   * How long the upstream states that it stays cold, in ms; `undefined` if it
   * states nothing.
   */
  readonly warmUpLeftMs: number | undefined;
}

/**
 * A back-off that an upstream asks for, or the header text if it is malformed.
 */
export type RequestedBackoff =
  | { readonly kind: "for"; readonly ms: number }
  | { readonly kind: "unreadable"; readonly text: string };

/** What an upstream says of its incarnation when it is asked. */
export type UpstreamReport =
  | { readonly kind: "incarnation"; readonly incarnation: number }
  /** The upstream offers no report. */
  | { readonly kind: "not-offered" }
  /** There was no usable answer. */
  | { readonly kind: "unknown"; readonly reason: string };

/**
 * Reads and writes the headers of the platform's protocol, and the reports of
 * upstreams.
 */
export interface CallCodec {
  /** Path at which upstreams say what they are. */
  readonly reportTarget: string;
  readReport(status: number, body: string): UpstreamReport;
  /** Returns `undefined` for a request without a valid id. */
  tryReadCall(req: IncomingMessage): CallHeaders | undefined;
  /**
   * Builds the header list for the upstream, as alternating names and values,
   * from the caller's end-to-end headers and those that the system adds.
   */
  createUpstreamHeaders(
    rawHeaders: readonly string[],
    forwarded: ForwardedHeaders,
  ): string[];
  readResponseHeaders(
    status: number,
    headers: IncomingHttpHeaders,
  ): ResponseHeaders;
  /** Headers of a rejection, which the system itself generates. */
  createRejectionHeaders(rejection: RejectionHeaders): Record<string, string>;
}

/** The values that the headers of a rejection carry. */
export interface RejectionHeaders {
  readonly requestId: string | undefined;
  /**
   * Delay before a retry, in ms. Set only on rejections that promise "not run".
   */
  readonly retryAfterMs: number | undefined;
}

/** How an attempt failed; see `AttemptFailed`. */
export type AttemptFailure =
  | "not-sent"
  | "unwanted"
  | "unsendable"
  | "not-run"
  | "broken"
  | "cut-off"
  | "silent";

/** A time-out that passed. */
export interface Silence {
  readonly phase: SilencePhase;
  readonly limitMs: number;
}

/**
 * An attempt that produced no response that can be passed on to the caller.
 *
 * - `not-sent`: no connection was made; no byte of the request left this host.
 * - `unwanted`: not sent either; while the connection was being made, the
 *   upstream stated that it is leaving or asked for a back-off, or the content
 *   was blocked.
 * - `unsendable`: not sent either; the request can't be written, for example
 *   since a header holds a character that HTTP does not admit, or this host has
 *   no descriptor or port left. Says nothing of the upstream.
 * - `not-run`: the upstream states that it has not run the request and never
 *   will.
 * - `broken`: the request was sent and may have run; the answer is unusable.
 * - `cut-off`: like `broken`, but the connection ended before the answer did, or
 *   a stream ended inside an event.
 * - `silent`: like `broken`, but nothing at all arrived within the time-out.
 */
export class AttemptFailed extends Data.TaggedError("AttemptFailed")<{
  readonly kind: AttemptFailure;
  readonly reason: string;
  /** Set if the attempt failed because a time-out passed. */
  readonly silence?: Silence | undefined;
  /** The system call that failed, such as `connect`; absent for other errors. */
  readonly syscall?: string | undefined;
  /**
   * Set if a body without a length isn't proven to be whole: the result of the
   * connection attempt that was to prove it.
   */
  readonly contact?: ConnectResult | undefined;
}> {}
