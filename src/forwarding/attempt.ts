/**
 * Sends a request to one upstream and validates the head of the response.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { UpstreamEntry } from "../discovery/mod.ts";
import { isContentBlocked } from "./blocked_content.ts";
import {
  type Attempt,
  type Call,
  type ForwardHost,
  getRemainingMs,
  needsProof,
} from "./call.ts";
import { drainBody } from "./drain_body.ts";
import { countWarmUp, mayStillUse } from "./eligible_upstreams.ts";
import { getEndToEndHeaders } from "./headers.ts";
import { tryGetSilenceLimitMs } from "./silence_limits.ts";
import { recordSignals } from "./upstream_signals.ts";
import { AttemptFailed } from "./types.ts";
import { openCall, type UpstreamResponse } from "./upstream_call.ts";

/** Statuses that tell a caller that its request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Sends the request. Succeeds only with a response that belongs to this request
 * and may be passed on to the caller. An exception on the way ends this attempt
 * only: another upstream may serve the request.
 */
export function sendAttempt(
  host: ForwardHost,
  call: Call,
  attempt: Attempt,
): Effect.Effect<UpstreamResponse, AttemptFailed> {
  const { req, progress } = call;
  const { upstream } = attempt;
  return Effect.suspend(() => {
    const headers = host.codec.createUpstreamHeaders(
      getEndToEndHeaders(req.rawHeaders),
      {
        remainingMs: Math.max(1, Math.floor(getRemainingMs(host, call))),
        upstreamId: upstream.id,
        team: call.team,
        lastEventId: progress.lastEventId,
        fetchFrom: attempt.fetch?.source?.address,
      },
    );
    return openCall({
      agent: host.agent,
      address: upstream.address,
      method: req.method ?? "GET",
      target: req.url ?? "/",
      headers,
      body: call.body,
      getRemainingMs: () => getRemainingMs(host, call),
      getStalledMs: host.getStalledMs,
      trace: attempt.trace,
      prove: needsProof(call)
        ? (connection) => host.incarnations.prove(upstream, connection)
        : undefined,
      mayStillSend: () =>
        !isContentBlocked(host, call) && mayStillUse(host, call, upstream),
      onSent() {
        countWarmUp(host, call, upstream);
        recordSent(host, call, attempt);
      },
    });
  }).pipe(
    Effect.catchDefect((defect) =>
      fail(
        attempt.isSent ? "broken" : "unsendable",
        `Internal error: ${defect}`,
      )
    ),
    Effect.flatMap((response) => {
      attempt.bodyTrace = response.trace;
      return validateResponse(host, call, upstream, response);
    }),
  );
}

/** Counts a request whose first byte may have left this host. */
function recordSent(host: ForwardHost, call: Call, attempt: Attempt): void {
  const { progress, route } = call;
  const limitMs = tryGetSilenceLimitMs(route, getRemainingMs(host, call));
  progress.attempts++;
  progress.possibleRuns++;
  attempt.onSent();
  if (limitMs !== undefined) attempt.silence.enter("head", limitMs);
}

/**
 * Rejects responses that must not reach the caller:
 *
 * - A late response to an earlier request, or bytes that belong to no request,
 *   would be read as the response to this one. If they say "not run", a request
 *   that must not be repeated would run at a second upstream.
 * - A response that no upstream generated would be passed on as a success.
 * - A status that promises "not run" would be passed on for a request that may
 *   have run.
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
  if (!isOwnResponse(call, response, requestId)) {
    return abortAndFail(response, "broken", "Request id mismatch");
  }
  recordSignals(host, call, { upstream, status, headers });
  if (isNotRun) {
    call.progress.possibleRuns--;
    drainBody(response, ({ reason, readBytes }) =>
      host.log({
        event: "drained-body-closed",
        request: call.headers.requestId,
        upstream: upstream.id,
        reason,
        readBytes,
      }));
    return fail(
      "not-run",
      `Status ${status}: the upstream has not run the request`,
    );
  }
  const isSuccess = status >= 200 && status < 300;
  if (isSuccess && (!isSealed || requestId === undefined)) {
    return abortAndFail(
      response,
      "broken",
      "The successful response carries no seal of an upstream",
    );
  }
  if (isSuccess && res.headers["content-encoding"] !== undefined) {
    return abortAndFail(
      response,
      "broken",
      "The response body has a content encoding that was not requested",
    );
  }
  if (NOT_RUN_STATUSES.has(status)) {
    return abortAndFail(
      response,
      "broken",
      `Status ${status} means "not run", but the request may have run`,
    );
  }
  return Effect.succeed(response);
}

/**
 * Whether the response belongs to the request. Upstreams name the request in
 * their responses. One without an id may be additional bytes behind the response
 * to an earlier request, unless the connection has carried none.
 */
function isOwnResponse(
  call: Call,
  { isFirstOnConnection }: UpstreamResponse,
  requestId: string | undefined,
): boolean {
  return requestId === undefined
    ? isFirstOnConnection
    : requestId === call.headers.requestId;
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
