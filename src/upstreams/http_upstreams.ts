/**
 * Calls upstreams over HTTP: an engine streams server-sent events, a plain
 * service sends one JSON body.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { type IncomingMessage, request as sendRequest } from "node:http";
import * as Effect from "effect/Effect";
import { createParser } from "eventsource-parser";
import {
  getErrorMessage,
  onProtocolSwitched,
  startTimeout,
} from "../core/mod.ts";
import { getBodyFraming } from "./body_framing.ts";
import {
  type CancelResult,
  type EventStream,
  type PlainResponse,
  type StreamEvent,
  type StreamLocation,
  type UpstreamClient,
  UpstreamError,
} from "./types.ts";

/**
 * An open stream on which nothing arrives for this time, in ms, counts as lost.
 * A working engine sends a comment each second, so that three in a row are
 * missing.
 */
export const STREAM_IDLE_TIMEOUT_MS = 3_000;

/**
 * Header that states for how many milliseconds the response is still useful: a
 * remaining time rather than a time of day, since clocks differ.
 */
const DEADLINE_HEADER = "azurestile-timeout-ms";

interface HttpCall {
  /** IP address and port of the upstream. */
  readonly address: string;
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /**
   * Time-out in ms: for the whole response, or for the head if the body is a
   * stream.
   */
  readonly timeoutMs: number;
  readonly isStream: boolean;
}

/** Creates a client that uses Node's HTTP module. */
export function createHttpUpstreams(): UpstreamClient {
  return {
    generate: ({ address, stream, body, remainingMs }) =>
      openStream({
        address,
        method: "POST",
        path: "/generate",
        headers: {
          "azurestile-request": stream,
          [DEADLINE_HEADER]: String(remainingMs),
        },
        body,
        timeoutMs: STREAM_IDLE_TIMEOUT_MS,
        isStream: true,
      }),
    resume: (location, offset) =>
      openStream({
        address: location.address,
        method: "GET",
        path: `${getStreamPath(location)}?offset=${offset}`,
        timeoutMs: STREAM_IDLE_TIMEOUT_MS,
        isStream: true,
      }),
    cancelIfUnread: (location) =>
      Effect.tryPromise({
        try: async () => {
          const res = await sendCall({
            address: location.address,
            method: "DELETE",
            path: `${getStreamPath(location)}?if=unread`,
            timeoutMs: STREAM_IDLE_TIMEOUT_MS,
            isStream: false,
          });
          return toCancelResult(res.statusCode ?? 0, await readBody(res));
        },
        catch: toUpstreamError,
      }),
    call: (call) =>
      Effect.uninterruptible(Effect.tryPromise({
        try: async () => {
          const res = await sendCall({
            address: call.address,
            method: "POST",
            path: `/calls/${call.operation}`,
            headers: {
              "azurestile-request": call.request,
              "idempotency-key": call.idempotencyKey,
              [DEADLINE_HEADER]: String(call.timeoutMs),
            },
            body: call.body,
            timeoutMs: call.timeoutMs,
            isStream: false,
          });
          return { status: res.statusCode ?? 0, body: await readBody(res) };
        },
        catch: toUpstreamError,
      })) as Effect.Effect<PlainResponse, UpstreamError>,
  };
}

function getStreamPath(location: StreamLocation): string {
  return `/streams/${encodeURIComponent(location.stream)}`;
}

/** Sends a call; settles with the head of the response. */
function sendCall(call: HttpCall): Promise<IncomingMessage> {
  const [host, port] = call.address.split(":");
  return new Promise((resolve, reject) => {
    const req = sendRequest({
      host,
      port: Number(port),
      method: call.method,
      path: call.path,
      headers: {
        ...call.headers,
        "content-type": "application/json",
        "content-length": Buffer.byteLength(call.body ?? ""),
      },
    });
    let response: IncomingMessage | undefined;
    // A connection can stay silent forever without an error. Destroying the
    // request would not fail its response: a body without a length would end.
    const timeout = startTimeout(
      call.timeoutMs,
      () => (response ?? req).destroy(createSilentError(call.timeoutMs)),
    );
    req.on("response", (res) => {
      response = res;
      if (call.isStream) timeout[Symbol.dispose]();
      else res.on("close", () => timeout[Symbol.dispose]());
      resolve(res);
    });
    function fail(err: Error): void {
      timeout[Symbol.dispose]();
      reject(toUpstreamError(err));
    }

    req.on("error", fail);
    onProtocolSwitched(req, (reason) => fail(new Error(reason)));
    req.end(call.body);
  });
}

function openStream(
  call: HttpCall,
): Effect.Effect<EventStream, UpstreamError> {
  return Effect.tryPromise({
    try: async (signal) => {
      const res = await sendCall(call);
      if (signal.aborted) res.destroy();
      const { statusCode = 0 } = res;
      if (statusCode === 200) return createStream(res);
      res.resume();
      throw new UpstreamError({
        failure: getStatusFailure(statusCode),
        reason: `Status ${statusCode}`,
      });
    },
    catch: toUpstreamError,
  });
}

function getStatusFailure(status: number): UpstreamError["failure"] {
  if (status === 404 || status === 410) return "forgotten";
  if (status === 429 || status === 503) return "rejected";
  return status >= 400 && status < 500 ? "rejected" : "failed";
}

function createStream(res: IncomingMessage): EventStream {
  const events: StreamEvent[] = [];
  const parser = createParser({
    onEvent: (event) =>
      events.push({
        name: event.event ?? "message",
        offset: Number(event.id ?? -1),
        data: event.data,
      }),
  });
  res.setEncoding("utf8");
  const chunks = res[Symbol.asyncIterator]() as AsyncIterator<string>;

  async function next(): Promise<StreamEvent | undefined> {
    while (events.length === 0) {
      const step = await readChunk(res, chunks);
      if (step.done) return undefined;
      parser.feed(step.value);
    }
    return events.shift();
  }

  return {
    next: Effect.tryPromise({ try: next, catch: toUpstreamError }),
    close: () => void res.destroy(),
  };
}

/**
 * Reads the next chunk. The time-out runs only while this host waits for the
 * upstream: a stream that waits for a slow caller is not silent.
 */
async function readChunk(
  res: IncomingMessage,
  chunks: AsyncIterator<string>,
): Promise<IteratorResult<string>> {
  using _timeout = startTimeout(
    STREAM_IDLE_TIMEOUT_MS,
    () => res.destroy(createSilentError(STREAM_IDLE_TIMEOUT_MS)),
  );
  return await chunks.next();
}

/** Reads the whole body; throws if it is cut. */
async function readBody(res: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of res) chunks.push(chunk as Buffer);
  const body = Buffer.concat(chunks).toString("utf8");
  if (endsWithConnection(res) && !isWholeJson(body)) throw createCutError();
  return body;
}

/**
 * Whether only the end of the connection ends the body. That end looks the same
 * after a whole body and after a part: a process that is killed closes its
 * connections in order, and Node may report a reset as such an end.
 */
function endsWithConnection(res: IncomingMessage): boolean {
  return getBodyFraming(res, "POST") === "until-close";
}

/**
 * Whether the text is JSON that would not be so if its end were missing; a
 * number would.
 */
function isWholeJson(text: string): boolean {
  try {
    return typeof JSON.parse(text) !== "number";
  } catch {
    return false;
  }
}

function toCancelResult(status: number, body: string): CancelResult {
  if (status === 409) return { kind: "being-read" };
  if (status === 404 || body === "") return { kind: "gone", tokens: 0 };
  const { tokens = 0 } = JSON.parse(body) as { tokens?: number };
  return { kind: "gone", tokens };
}

function createSilentError(timeoutMs: number): UpstreamError {
  return new UpstreamError({
    failure: "silent",
    reason: `The upstream sent nothing for ${timeoutMs} ms`,
  });
}

function createCutError(): UpstreamError {
  const reason = "The body has no length and is not whole JSON";
  return new UpstreamError({ failure: "broken", reason });
}

function toUpstreamError(err: unknown): UpstreamError {
  if (err instanceof UpstreamError) return err;
  const reason = getErrorMessage(err);
  const code = (err as { code?: string } | undefined)?.code ?? "";
  if (code === "ECONNREFUSED") {
    return new UpstreamError({ failure: "refused", reason });
  }
  return new UpstreamError({ failure: "broken", reason });
}
