/**
 * Client of the platform over HTTP with JSON bodies. Every call has a time-out,
 * since a connection can stop answering for good. When the reply of a call is
 * lost, the error says that the call may have run, and the caller reads the
 * state back.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import { parseJson } from "./parse_json.ts";
import {
  type ListedMachine,
  type Platform,
  PlatformError,
  type Row,
  type TransactResult,
} from "./types.ts";

const CALL_TIMEOUT_MS = 2_000;

interface Reply {
  readonly status: number;
  readonly text: string;
  /** ETag of the content, for a later conditional read; empty for none. */
  readonly etag: string;
}

interface CallOptions {
  readonly method: string;
  readonly body?: string;
  /**
   * ETag of the content that is already known; the body is sent only if it has
   * changed.
   */
  readonly knownEtag?: string;
}

const NOT_MODIFIED = 304;

/**
 * Creates the client of the platform at the address, an IP address and a port.
 */
export function createHttpPlatform(address: string): Platform {
  let cachedList:
    | { etag: string; machines: readonly ListedMachine[] }
    | undefined;

  function call(path: string, options: CallOptions) {
    return Effect.tryPromise({
      try: () => send(`http://${address}${path}`, options),
      catch: toPlatformError,
    }).pipe(Effect.flatMap(rejectServerError));
  }

  function callJson<T>(path: string, body: unknown) {
    return call(path, { method: "POST", body: JSON.stringify(body) }).pipe(
      Effect.flatMap((reply) => parseJson<T>(reply.text)),
    );
  }

  /**
   * Reads the machine list, by a conditional request. A list of a thousand
   * machines is read every few seconds but changes only a few times an hour;
   * unchanged, it costs only headers.
   */
  function getMachines() {
    // Suspended, since the effect is created once and run every few seconds,
    // and must use the newest ETag.
    const read = Effect.suspend(() =>
      call("/machines", { method: "GET", knownEtag: cachedList?.etag ?? "" })
    );
    return read.pipe(Effect.flatMap(({ status, text, etag }) => {
      if (status === NOT_MODIFIED && cachedList !== undefined) {
        return Effect.succeed(cachedList.machines);
      }
      return parseJson<readonly ListedMachine[]>(text).pipe(
        Effect.tap((machines) =>
          Effect.sync(() => cachedList = { etag, machines })
        ),
      );
    }));
  }

  return {
    tables: {
      transact: (writes) =>
        callJson<TransactResult>("/table/transact", { writes }),
      get: (table, key) => callJson<Row>("/table/get", { table, key }),
      list: (table, prefix) =>
        callJson<readonly Row[]>("/table/list", { table, prefix }),
    },
    objects: {
      put: (name, content) =>
        call(`/objects/${name}`, { method: "PUT", body: content }).pipe(
          Effect.asVoid,
        ),
      tryGet: (name) =>
        call(`/objects/${name}`, { method: "GET" }).pipe(
          Effect.map((reply) => reply.status === 404 ? undefined : reply.text),
        ),
    },
    machines: { get: getMachines },
    weights: {
      tryReserve: (model) =>
        call(`/weights/${model}`, { method: "POST" }).pipe(
          Effect.map((reply) => reply.status === 200),
        ),
    },
  };
}

async function send(url: string, options: CallOptions): Promise<Reply> {
  const { method, body, knownEtag = "" } = options;
  const res = await fetch(url, {
    method,
    body: body ?? null,
    headers: knownEtag === "" ? {} : { "if-none-match": knownEtag },
    signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
  });
  const etag = res.headers.get("etag") ?? "";
  return { status: res.status, text: await res.text(), etag };
}

function rejectServerError(reply: Reply): Effect.Effect<Reply, PlatformError> {
  if (reply.status < 500) return Effect.succeed(reply);
  // With status 503 the platform guarantees that it did nothing.
  const mayHaveRun = reply.status !== 503;
  const reason = `The platform answered with status ${reply.status}`;
  return Effect.fail(new PlatformError({ reason, mayHaveRun }));
}

function toPlatformError(err: unknown): PlatformError {
  const cause = err instanceof Error && err.cause instanceof Error
    ? err.cause
    : err;
  const reason = cause instanceof Error ? cause.message : String(cause);
  // Only a refused connection proves that the request was never sent.
  const mayHaveRun = !reason.includes("ECONNREFUSED");
  return new PlatformError({ reason, mayHaveRun });
}
