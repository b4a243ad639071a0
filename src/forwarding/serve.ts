/**
 * Serves one request at an entry host, step by step: identify the caller and
 * the route, read the body, forward. A caller that disconnects, the request's
 * time-out or the end of the process can end it at any step.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import * as Effect from "effect/Effect";
import { getDigest, startTimeout } from "../core/mod.ts";
import { getSharedParts } from "../crashes/mod.ts";
import {
  type CallerLost,
  createDisconnected,
  hasDisconnected,
  onCallerDisconnected,
} from "../requests/caller.ts";
import { closeAfter } from "../requests/last_response.ts";
import { pickService, type Route, type RouteTable } from "../routing/mod.ts";
import { checkNotBlocked, tryRejectParts } from "./blocked_content.ts";
import {
  type Call,
  createProgress,
  type ForwardHost,
  getRemainingMs,
} from "./call.ts";
import { forward } from "./forward.ts";
import { failAtExit } from "./open_at_exit.ts";
import { type Exchange, readBody } from "./read_body.ts";
import { createNotRunRejection, Rejected } from "./rejections.ts";
import {
  endAnswered,
  endCallerLost,
  endRejected,
  type RequestState,
} from "./request_end.ts";
import {
  FAILED_RETRY_MS,
  getNoConfigRetryMs,
  LEAVING_RETRY_MS,
} from "./retry_after.ts";
import { tryRefuseEarly } from "./refuse_early.ts";
import { findOrigin } from "./stream_origin.ts";
import type { CallHeaders } from "./types.ts";

/**
 * Retry delay while this host is overloaded, in ms: a less busy host can take
 * the request.
 */
const OVERLOADED_RETRY_MS = 200;

/**
 * A request whose team and route are known but whose body has not been read.
 */
interface IdentifiedRequest {
  readonly headers: CallHeaders;
  readonly routes: RouteTable;
  readonly route: Route;
  readonly team: string | undefined;
  /** Names of the parts of its prompt that other requests may have as well. */
  readonly parts: readonly string[];
}

/**
 * Serves one request to its end. Requests that can be rejected by their headers
 * are rejected synchronously; the others run in a fiber.
 */
export function serve(
  host: ForwardHost,
  req: IncomingMessage,
  res: ServerResponse,
): void {
  const state: RequestState = {
    headers: undefined,
    route: undefined,
    team: undefined,
    call: undefined,
    body: undefined,
    arrivedMs: host.clock.monotonicMs() - host.getUnreadMs(),
    relay: host.tryGetRelay(req),
    isHostOverloaded: host.isOverloaded(),
  };
  try {
    const found = identify(host, state, req);
    if (found instanceof Rejected) return endRejected(host, state, res, found);
    const refused = tryRejectParts(host, found.parts) ??
      tryRefuseEarly(host, found);
    if (refused !== undefined) return endRejected(host, state, res, refused);
    Effect.runFork(serveIdentified(host, state, found, { req, res }));
  } catch (err) {
    // An uncaught exception would end the process and all requests that it
    // serves.
    endRejected(host, state, res, createInternalError(String(err)));
  }
}

/** Reads the body, forwards the request and sends the outcome. Never fails. */
function serveIdentified(
  host: ForwardHost,
  state: RequestState,
  identified: IdentifiedRequest,
  exchange: Exchange,
): Effect.Effect<void> {
  const { res } = exchange;
  return prepareCall(host, state, identified, exchange).pipe(
    Effect.flatMap((call) => forwardWithinDeadline(host, call)),
    Effect.raceFirst(failAtExit(host, state, res)),
    Effect.flatMap(() => Effect.sync(() => endAnswered(host, state, res))),
    Effect.catchTag(
      "Rejected",
      (err) => Effect.sync(() => endRejected(host, state, res, err)),
    ),
    Effect.catchTag(
      "CallerLost",
      (err) => Effect.sync(() => endCallerLost(host, state, err)),
    ),
    Effect.catchCause((cause) =>
      Effect.sync(() =>
        endRejected(host, state, res, createInternalError(String(cause)))
      )
    ),
    Effect.ensuring(Effect.sync(() => state.body?.[Symbol.dispose]())),
  );
}

/**
 * Determines team and route from the headers, and stores them in `state` as
 * soon as they are known, so that the log line of a rejection contains them.
 */
function identify(
  host: ForwardHost,
  state: RequestState,
  req: IncomingMessage,
): IdentifiedRequest | Rejected {
  const headers = host.codec.tryReadCall(req);
  if (headers === undefined) {
    return createRejected(400, "The request has no valid request id");
  }
  state.headers = headers;
  const routes = host.tryGetRoutes();
  if (routes === undefined) {
    const retryAfterMs = getNoConfigRetryMs({
      sinceStartMs: host.clock.monotonicMs() - host.startedMs,
      callerTimeoutMs: headers.callerTimeoutMs,
      random: host.random(),
    });
    return createNotRunRejection(
      "This host has not received a configuration yet",
      retryAfterMs,
    );
  }
  const route = routes.tryGetRoute(req.headers.host ?? "", req.url ?? "/");
  if (route === undefined) return createRejected(404, "No route matches");
  state.route = route;
  const team = headers.key === undefined
    ? undefined
    : routes.tryGetTeam(headers.key);
  state.team = team;
  const needsTeam = routes.config.teams.length > 0 && !route.isPublic;
  if (needsTeam && team === undefined) {
    return createRejected(401, "The key belongs to no team");
  }
  const partIds = headers.prompt?.parts.map(({ id }) => id) ?? [];
  return { headers, routes, route, team, parts: getSharedParts(partIds) };
}

/**
 * Reads the body, then checks conditions that may have changed in the meantime.
 */
function prepareCall(
  host: ForwardHost,
  state: RequestState,
  { headers, routes, route, team, parts }: IdentifiedRequest,
  { req, res }: Exchange,
): Effect.Effect<Call, Rejected | CallerLost> {
  return Effect.gen(function* () {
    const { maxBodyBytes } = routes.config.callerLimits;
    const body = yield* readBody({ req, res }, {
      maxBytes: maxBodyBytes,
      memory: host.requestMemory,
    });
    state.body = body;
    yield* awaitPendingClose(res);
    yield* checkOnTime(host, state, { res, headers });
    const callerTimeoutMs = headers.callerTimeoutMs ?? route.timeoutMs;
    const call: Call = {
      req,
      res,
      headers,
      route,
      team,
      service: pickService(route.services, host.random()),
      body: body.bytes,
      fingerprint: getFingerprint(req, team, body.bytes),
      parts,
      arrivedMs: state.arrivedMs,
      deadlineMs: state.arrivedMs + Math.min(callerTimeoutMs, route.timeoutMs),
      progress: createProgress(headers.lastEventId),
    };
    state.call = call;
    yield* checkNotBlocked(host, call);
    yield* checkServable(host, call);
    return call;
  });
}

/**
 * Rejects requests that this host read too late. The response closes the
 * connection, so that the caller reconnects, possibly to another host.
 */
function checkOnTime(
  host: ForwardHost,
  state: RequestState,
  { res, headers }: { res: ServerResponse; headers: CallHeaders },
): Effect.Effect<void, Rejected> {
  const waitedMs = host.clock.monotonicMs() - state.arrivedMs;
  const isTimedOut = waitedMs >= (headers.callerTimeoutMs ?? Infinity);
  if (!state.isHostOverloaded && !isTimedOut) return Effect.void;
  closeAfter(res);
  const reason = `This host is overloaded; the request was read after up to ${
    Math.round(waitedMs)
  } ms`;
  return Effect.fail(createNotRunRejection(reason, OVERLOADED_RETRY_MS));
}

/**
 * Waits until a close that is already in the socket has been read. A caller
 * that disconnected while the event loop was busy has sent its request and
 * closed the connection; the request is read before the close. The close is
 * read in the next event-loop iteration, which has passed when the second
 * `setImmediate` callback runs. Without this wait, requests would be forwarded
 * for callers that have disconnected.
 */
function awaitPendingClose(
  res: ServerResponse,
): Effect.Effect<void, CallerLost> {
  return Effect.callback<void, CallerLost>((resume) => {
    let turn = setImmediate(() => {
      turn = setImmediate(() => resume(checkCallerConnected(res)));
    });
    return Effect.sync(() => clearImmediate(turn));
  });
}

function checkCallerConnected(
  res: ServerResponse,
): Effect.Effect<void, CallerLost> {
  return hasDisconnected(res) ? Effect.fail(createDisconnected()) : Effect.void;
}

function createInternalError(what: string): Rejected {
  const reason = `Internal error: ${what}`;
  return new Rejected({ status: 502, reason });
}

function createRejected(status: 400 | 401 | 404, reason: string): Rejected {
  return new Rejected({ status, reason });
}

/** Rejects requests that are known to fail before they join the queue. */
function checkServable(
  host: ForwardHost,
  call: Call,
): Effect.Effect<void, Rejected> {
  if (!host.mayStartRequest(call.req, call.deadlineMs)) {
    const reason = "A host of this connection is shutting down";
    return Effect.fail(createNotRunRejection(reason, LEAVING_RETRY_MS));
  }
  return Effect.void;
}

function getFingerprint(
  req: IncomingMessage,
  team: string | undefined,
  body: Uint8Array,
): string {
  const content = getDigest(body);
  return getDigest(`${req.url}\n${team ?? ""}\n${content}`).slice(0, 32);
}

function forwardWithinDeadline(
  host: ForwardHost,
  call: Call,
): Effect.Effect<void, Rejected | CallerLost> {
  return findOrigin(host, call).pipe(
    Effect.andThen(forward(host, call)),
    Effect.raceFirst(failWhenOver(host, call)),
  );
}

/** Fails when the caller disconnects or the deadline passes; never succeeds. */
function failWhenOver(
  host: ForwardHost,
  call: Call,
): Effect.Effect<never, Rejected | CallerLost> {
  const { res } = call;
  return Effect.callback<never, Rejected | CallerLost>((resume) => {
    const caller = onCallerDisconnected(
      res,
      () => resume(Effect.fail(createDisconnected())),
    );
    const timeout = startTimeout(
      Math.max(0, getRemainingMs(host, call)),
      () => resume(Effect.fail(createTimeoutRejection(call))),
    );
    return Effect.sync(() => {
      timeout[Symbol.dispose]();
      caller[Symbol.dispose]();
    });
  });
}

function createTimeoutRejection(call: Call): Rejected {
  const reason = "The deadline of the request has passed";
  return call.progress.possibleRuns === 0
    ? createNotRunRejection(reason, FAILED_RETRY_MS)
    : new Rejected({ status: 504, reason });
}
