/**
 * Calls to upstreams over HTTP: an engine streams server-sent events, a plain
 * service answers with one JSON body.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { type IncomingMessage, request as sendRequest } from "node:http";
import * as Effect from "effect/Effect";
import { createParser } from "eventsource-parser";
import { startTimeout } from "../core/mod.ts";
import {
  type AnswerEvent,
  type AnswerStream,
  type CancelResult,
  type PlainAnswer,
  type StreamPlace,
  type UpstreamClient,
  UpstreamError,
} from "./types.ts";

/**
 * An open stream that carries nothing for so long is lost, in ms. Engines send
 * a comment each second while they work, so three in a row are missing.
 */
export const STREAM_SILENCE_MS = 3_000;

/**
 * Tells an upstream how many milliseconds the answer is still of use: the time
 * that is left and not a time of day, since clocks differ.
 */
const DEADLINE_HEADER = "azurestile-timeout-ms";

interface HttpCall {
  /** IP address and port of the upstream. */
  readonly address: string;
  readonly method: "GET" | "POST" | "DELETE";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  /** Time until the head of the answer, in ms. */
  readonly limitMs: number;
}

/** Makes the client over Node's HTTP. */
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
        limitMs: STREAM_SILENCE_MS,
      }),
    resume: (place, offset) =>
      openStream({
        address: place.address,
        method: "GET",
        path: `${getStreamPath(place)}?offset=${offset}`,
        limitMs: STREAM_SILENCE_MS,
      }),
    cancelIfUnread: (place) =>
      Effect.tryPromise({
        try: async () => {
          const res = await open({
            address: place.address,
            method: "DELETE",
            path: `${getStreamPath(place)}?if=unread`,
            limitMs: STREAM_SILENCE_MS,
          });
          return toCancelResult(res.statusCode ?? 0, await readBody(res));
        },
        catch: toUpstreamError,
      }),
    call: (call) =>
      Effect.uninterruptible(Effect.tryPromise({
        try: async () => {
          const res = await open({
            address: call.address,
            method: "POST",
            path: `/calls/${call.operation}`,
            headers: {
              "azurestile-request": call.request,
              "idempotency-key": call.idempotencyKey,
              [DEADLINE_HEADER]: String(call.limitMs),
            },
            body: call.body,
            limitMs: call.limitMs,
          });
          return { status: res.statusCode ?? 0, body: await readBody(res) };
        },
        catch: toUpstreamError,
      })) as Effect.Effect<PlainAnswer, UpstreamError>,
  };
}

function getStreamPath(place: StreamPlace): string {
  return `/streams/${encodeURIComponent(place.stream)}`;
}

/** Opens a call; settles with the head of the answer. */
function open(call: HttpCall): Promise<IncomingMessage> {
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
    // A connection can go silent for good without raising any error.
    const limit = startTimeout(
      call.limitMs,
      () => req.destroy(createSilence(call.limitMs)),
    );
    req.on("response", (res) => {
      if (call.path.startsWith("/calls/")) {
        res.on("close", () => limit[Symbol.dispose]());
      } else limit[Symbol.dispose]();
      resolve(res);
    });
    req.on("error", (err) => {
      limit[Symbol.dispose]();
      reject(toUpstreamError(err));
    });
    req.end(call.body);
  });
}

function openStream(
  call: HttpCall,
): Effect.Effect<AnswerStream, UpstreamError> {
  return Effect.tryPromise({
    try: async (signal) => {
      const res = await open(call);
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

function createStream(res: IncomingMessage): AnswerStream {
  const ready: AnswerEvent[] = [];
  const parser = createParser({
    onEvent: (event) =>
      ready.push({
        name: event.event ?? "message",
        offset: Number(event.id ?? -1),
        data: event.data,
      }),
  });
  res.setEncoding("utf8");
  const chunks = res[Symbol.asyncIterator]() as AsyncIterator<string>;

  async function next(): Promise<AnswerEvent | undefined> {
    while (ready.length === 0) {
      const step = await readChunk(res, chunks);
      if (step.done) return undefined;
      parser.feed(step.value);
    }
    return ready.shift();
  }

  return {
    next: Effect.tryPromise({ try: next, catch: toUpstreamError }),
    close: () => void res.destroy(),
  };
}

/**
 * The time runs only while this host waits for the upstream: a stream that
 * waits for a slow caller is not silent.
 */
async function readChunk(
  res: IncomingMessage,
  chunks: AsyncIterator<string>,
): Promise<IteratorResult<string>> {
  using _limit = startTimeout(
    STREAM_SILENCE_MS,
    () => res.destroy(createSilence(STREAM_SILENCE_MS)),
  );
  return await chunks.next();
}

async function readBody(res: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of res) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString("utf8");
}

function toCancelResult(status: number, body: string): CancelResult {
  if (status === 409) return { kind: "being-read" };
  if (status === 404 || body === "") return { kind: "gone", tokens: 0 };
  const { tokens = 0 } = JSON.parse(body) as { tokens?: number };
  return { kind: "gone", tokens };
}

function createSilence(limitMs: number): UpstreamError {
  return new UpstreamError({
    failure: "silent",
    reason: `Silent for ${limitMs} ms`,
  });
}

function toUpstreamError(err: unknown): UpstreamError {
  if (err instanceof UpstreamError) return err;
  const reason = err instanceof Error ? err.message : String(err);
  const code = (err as { code?: string } | undefined)?.code ?? "";
  if (code === "ECONNREFUSED") {
    return new UpstreamError({ failure: "refused", reason });
  }
  return new UpstreamError({ failure: "broken", reason });
}
