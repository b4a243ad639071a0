/**
 * Relays a response that is read whole before any of it is sent on: each one
 * that is not a stream of events.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import * as Effect from "effect/Effect";
import {
  type Attempt,
  type Call,
  type ForwardHost,
  getRemainingMs,
} from "./call.ts";
import { getBodyFraming } from "../upstreams/mod.ts";
import { getEligible } from "./eligible_upstreams.ts";
import { getEndToEndHeaders } from "./headers.ts";
import { readResponseBody } from "./response_body.ts";
import type { AttemptRivals } from "./running_attempt.ts";
import { tryGetSilenceLimitMs } from "./silence_limits.ts";
import { AttemptFailed } from "./types.ts";
import { holdUntilSent } from "./unsent_answer.ts";
import type { UpstreamResponse } from "./upstream_call.ts";

/**
 * Largest response that is buffered before it is sent on, in bytes. Streams are
 * not buffered.
 */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/** What is relayed, and beside which other attempts. */
export interface BufferedRelay extends AttemptRivals {
  readonly response: UpstreamResponse;
}

/**
 * Relays the response. Fails if it is incomplete, or if it is a failure that
 * need not be the last word for the caller.
 */
export function relayBuffered(
  host: ForwardHost,
  call: Call,
  attempt: Attempt,
  { response, isAlone, onDelivering }: BufferedRelay,
): Effect.Effect<void, AttemptFailed> {
  const remainingMs = getRemainingMs(host, call);
  const limits = {
    maxBytes: MAX_RESPONSE_BYTES,
    timeoutMs: Math.max(1, remainingMs),
    memory: host.responseMemory,
  };
  const silenceLimitMs = call.route.kind === "idempotent"
    ? tryGetSilenceLimitMs(call.route, remainingMs)
    : undefined;
  if (silenceLimitMs !== undefined) {
    attempt.silence.enter("body", silenceLimitMs);
  }
  const observed: UpstreamResponse = {
    ...response,
    onRead() {
      response.onRead();
      attempt.silence.restart();
    },
  };
  return readResponseBody(observed, limits).pipe(
    Effect.flatMap((chunks) => {
      const { res: upstreamRes } = response;
      const status = upstreamRes.statusCode ?? 0;
      const isFailure = status >= 500;
      if (isFailure && (!isAlone() || canTryAnother(host, call))) {
        const reason = `Status ${status}`;
        return Effect.fail(new AttemptFailed({ kind: "broken", reason }));
      }
      // The status line of a stream that has started has already been sent.
      if (call.res.headersSent) {
        const reason = `Status ${status} when resuming a stream`;
        return Effect.fail(new AttemptFailed({ kind: "broken", reason }));
      }
      onDelivering();
      call.progress.status = status;
      sendBuffered(call.res, response, chunks);
      holdUntilSent(host.responseMemory, call.res, (unsentBytes) =>
        host.log({
          event: "answer-dropped",
          request: call.headers.requestId,
          unsentBytes,
        }));
      return Effect.void;
    }),
  );
}

/**
 * Whether a 5xx response leads to an attempt at another upstream. Otherwise the
 * response is passed on to the caller.
 */
function canTryAnother(host: ForwardHost, call: Call): boolean {
  const { route, progress } = call;
  const isRepeatable = route.kind === "idempotent" || route.isResumable;
  const hasOther = getEligible(host, call).length > 0;
  return isRepeatable && hasOther && progress.possibleRuns < route.maxAttempts;
}

function sendBuffered(
  res: ServerResponse,
  response: UpstreamResponse,
  chunks: readonly Uint8Array[],
): void {
  const { rawHeaders, statusCode = 502 } = response.res;
  const length = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
  const headers = getEndToEndHeaders(rawHeaders);
  if (res.getHeader("connection") !== undefined) {
    headers.push("Connection", "close");
  }
  const framing = getBodyFraming(response.res, res.req.method ?? "");
  if (framing !== "none") {
    headers.push("Content-Length", String(length));
  }
  res.writeHead(statusCode, headers);
  response.trace.onRelayed(length);
  for (const chunk of chunks) res.write(chunk);
  res.end();
}
