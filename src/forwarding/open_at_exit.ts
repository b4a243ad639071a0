/**
 * Ends the requests that are open when this host, or the one that relays their
 * connection, is stopping and about to exit. Their callers get a complete response
 * in place of a closed connection, and learn whether they may send the request
 * again.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import * as Effect from "effect/Effect";
import type { Ending } from "../types.ts";
import type { ForwardHost } from "./call.ts";
import { createNotRunRejection, Rejected } from "./rejections.ts";
import type { RequestState } from "./request_end.ts";
import { LEAVING_RETRY_MS } from "./retry_after.ts";

/** Fails, and logs the request, when one of the two is about to exit. */
export function failAtExit(
  host: ForwardHost,
  state: RequestState,
  res: ServerResponse,
): Effect.Effect<never, Rejected> {
  return Effect.callback<never, Rejected>((resume) => {
    const listener = host.onEnding(res.req, (ending) => {
      logOpen(host, state, { res, ending });
      resume(Effect.fail(createExitRejection(state, ending)));
    });
    return Effect.sync(() => listener[Symbol.dispose]());
  });
}

function createExitRejection(state: RequestState, { by }: Ending): Rejected {
  const host = by === "self" ? "This host" : "The host that relays it";
  const reason = `${host} has to exit before the request is complete`;
  return mayHaveRun(state)
    ? new Rejected({ status: 502, reason })
    : createNotRunRejection(reason, LEAVING_RETRY_MS);
}

function mayHaveRun({ call }: RequestState): boolean {
  return (call?.progress.possibleRuns ?? 0) > 0;
}

function logOpen(
  host: ForwardHost,
  state: RequestState,
  { res, ending }: { readonly res: ServerResponse; readonly ending: Ending },
): void {
  const { headers, route, call, arrivedMs } = state;
  const attempt = call?.progress.attempt;
  const getSinceArrivalMs = (ms: number | undefined) =>
    ms === undefined ? undefined : Math.round(ms - arrivedMs);
  host.log({
    event: "request-open-at-exit",
    request: headers?.requestId ?? "",
    relay: state.relay,
    route: route?.name,
    upstream: attempt?.upstream.id,
    arrivedAfterStopMs: Math.round(arrivedMs - ending.stoppedMs),
    ageMs: Math.round(host.clock.monotonicMs() - arrivedMs),
    targetMs: route?.targetMs,
    deadlineMs: getSinceArrivalMs(call?.deadlineMs),
    attemptAfterMs: getSinceArrivalMs(attempt?.startedMs),
    leftMs: Math.round(ending.exitMs - arrivedMs),
    mayHaveRun: mayHaveRun(state),
    hasBegun: res.headersSent,
  });
}
