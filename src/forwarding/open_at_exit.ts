/**
 * What becomes of a request that is open when this host, which is stopping, is
 * about to exit.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { Ending, ForwardHost } from "./call.ts";
import type { RequestState } from "./request_end.ts";

/** Logs the request if it is open at the exit, until disposed of. */
export function logIfOpenAtExit(
  host: ForwardHost,
  state: RequestState,
  res: ServerResponse,
): Disposable {
  return host.onEnding((ending) => logOpen(host, state, { res, ending }));
}

function logOpen(
  host: ForwardHost,
  { headers, route, call, arrivedMs }: RequestState,
  { res, ending }: { readonly res: ServerResponse; readonly ending: Ending },
): void {
  const attempt = call?.progress.attempt;
  const getSinceArrivalMs = (ms: number | undefined) =>
    ms === undefined ? undefined : Math.round(ms - arrivedMs);
  host.log({
    event: "request-open-at-exit",
    request: headers?.requestId ?? "",
    route: route?.name,
    upstream: attempt?.upstream.id,
    arrivedAfterStopMs: Math.round(arrivedMs - ending.stoppedMs),
    ageMs: Math.round(host.clock.monotonicMs() - arrivedMs),
    targetMs: route?.targetMs,
    deadlineMs: getSinceArrivalMs(call?.deadlineMs),
    attemptAfterMs: getSinceArrivalMs(attempt?.startedMs),
    leftMs: Math.round(ending.exitMs - arrivedMs),
    mayHaveRun: (call?.progress.possibleRuns ?? 0) > 0,
    hasBegun: res.headersSent,
  });
}
