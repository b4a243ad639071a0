/**
 * Sends a request to one upstream and gives the head of its answer, after the
 * checks that every answer has to pass.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { UpstreamEntry } from "../discovery/mod.ts";
import { type Call, type ForwardHost, getRemainingMs } from "./call.ts";
import { getForwardable } from "./headers.ts";
import { recordSignals } from "./upstream_signals.ts";
import { AttemptFailed } from "./types.ts";
import { openCall, type UpstreamResponse } from "./upstream_call.ts";

/** What an attempt is made with. */
export interface AttemptOptions {
  readonly upstream: UpstreamEntry;
  /** Time until the head of the answer, in ms. */
  readonly headTimeoutMs: number;
}

/** Statuses by which a caller would take a request for not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Sends; fails unless the answer is this request's and may be passed on. */
export function attempt(
  host: ForwardHost,
  call: Call,
  { upstream, headTimeoutMs }: AttemptOptions,
): Effect.Effect<UpstreamResponse, AttemptFailed> {
  const { req, progress } = call;
  return Effect.suspend(() => {
    const headers = host.codec.createUpstreamHeaders(
      getForwardable(req.rawHeaders),
      {
        remainingMs: Math.max(1, Math.floor(getRemainingMs(host, call))),
        upstreamId: upstream.id,
        team: call.team,
        lastEventId: progress.lastEventId,
      },
    );
    return openCall({
      agent: host.agent,
      address: upstream.address,
      method: req.method ?? "GET",
      target: req.url ?? "/",
      headers,
      body: call.body,
      headTimeoutMs,
      mayStillSend: () =>
        host.directory.isReady(upstream) &&
        host.backoffs.getLeftMs(upstream) === 0,
      onSent() {
        progress.attempts++;
        progress.possibleRuns++;
      },
    });
  }).pipe(
    Effect.flatMap((response) =>
      validateResponse(host, call, upstream, response)
    ),
  );
}

/**
 * Failures guarded against: a late answer to an earlier request is read as this
 * one's; an answer that no upstream made is passed on as a success; a status
 * that promises "not run" is passed on for a request that may have run.
 */
function validateResponse(
  host: ForwardHost,
  call: Call,
  upstream: UpstreamEntry,
  response: UpstreamResponse,
): Effect.Effect<UpstreamResponse, AttemptFailed> {
  const { res } = response;
  const status = res.statusCode ?? 0;
  const headers = host.codec.readResponseHeaders(status, res.headers);
  const { requestId, isSealed, isNotRun } = headers;
  recordSignals(host, call, { upstream, status, headers });
  const isMismatched = requestId !== undefined &&
    requestId !== call.headers.requestId;
  if (isMismatched) {
    return abortAndFail(response, "broken", "Answer to another request");
  }
  if (isNotRun) {
    call.progress.possibleRuns--;
    // Read to its end, so that the connection can be used again.
    res.resume();
    return fail("not-run", `Status ${status}, not run`);
  }
  const isSuccess = status >= 200 && status < 300;
  if (isSuccess && (!isSealed || requestId === undefined)) {
    return abortAndFail(
      response,
      "broken",
      "Success that no upstream has sealed",
    );
  }
  if (isSuccess && res.headers["content-encoding"] !== undefined) {
    return abortAndFail(
      response,
      "broken",
      "Body in an encoding nobody asked for",
    );
  }
  if (NOT_RUN_STATUSES.has(status)) {
    return abortAndFail(
      response,
      "broken",
      `Status ${status} for what may have run`,
    );
  }
  return Effect.succeed(response);
}

function abortAndFail(
  response: UpstreamResponse,
  kind: AttemptFailed["kind"],
  reason: string,
): Effect.Effect<never, AttemptFailed> {
  response.abort();
  return fail(kind, reason);
}

function fail(
  kind: AttemptFailed["kind"],
  reason: string,
): Effect.Effect<never, AttemptFailed> {
  return Effect.fail(new AttemptFailed({ kind, reason }));
}
