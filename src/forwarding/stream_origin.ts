/**
 * Finds out where a stream began that a caller takes up, and records where the
 * streams of this host begin.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { UpstreamEntry } from "../discovery/mod.ts";
import type { FoundVersion } from "../stream_versions/mod.ts";
import type { Call, ForwardHost } from "./call.ts";
import { createUnavailable } from "./eligible_upstreams.ts";
import { createNotRunRejection, type Rejected } from "./rejections.ts";

/**
 * Retry delay for a stream of unknown version, in ms: another host may know it,
 * or this one once others reach it.
 */
const UNKNOWN_RETRY_MS = 200;

/**
 * Finds the version of the stream that the caller takes up. Fails, before
 * anything is sent, if nobody knows it.
 */
export function findOrigin(
  host: ForwardHost,
  call: Call,
): Effect.Effect<void, Rejected> {
  if (!takesUp(call)) return Effect.void;
  const { headers, service } = call;
  const askedMs = host.clock.monotonicMs();
  return host.streamVersions.find(service, headers.resumedRequestId).pipe(
    Effect.tap((found) =>
      Effect.sync(() => logFound(host, call, { found, askedMs }))
    ),
    Effect.flatMap((found) => applyFound(host, call, found)),
  );
}

/** Whether the caller has, or may have, events of an earlier request. */
function takesUp({ route, headers }: Call): boolean {
  const { lastEventId, resumedRequestId } = headers;
  return route.kind === "stream" &&
    (lastEventId !== undefined || resumedRequestId !== undefined);
}

function applyFound(
  host: ForwardHost,
  call: Call,
  found: FoundVersion,
): Effect.Effect<void, Rejected> {
  switch (found.kind) {
    case "found":
      call.progress.origin = { softwareVersion: found.version };
      return Effect.void;
    case "none":
      return Effect.fail(createUnavailable(host, call));
    case "unknown": {
      const reason = "No host knows at which version the stream began";
      return Effect.fail(createNotRunRejection(reason, UNKNOWN_RETRY_MS));
    }
  }
}

function logFound(
  host: ForwardHost,
  { headers }: Call,
  { found, askedMs }: {
    readonly found: FoundVersion;
    readonly askedMs: number;
  },
): void {
  if (found.kind === "none") return;
  const common = {
    request: headers.requestId,
    resumes: headers.resumedRequestId,
    tookMs: Math.round(host.clock.monotonicMs() - askedMs),
    asked: found.asked,
    answered: found.answered,
    ...(found.answers === undefined ? {} : { answers: found.answers }),
    inputs: host.getInputs(),
  };
  if (found.kind === "found") {
    const { version, from, confirmedBy } = found;
    host.log({
      event: "stream-version-found",
      ...common,
      version,
      from,
      ...(confirmedBy === undefined ? {} : { confirmedBy }),
    });
  } else {
    const { versions } = found;
    host.log({ event: "stream-version-unknown", ...common, versions });
  }
}

/** Records that the request's first event came from the upstream. */
export function recordFirstEvent(
  host: ForwardHost,
  { route, service, headers, progress }: Call,
  { softwareVersion }: UpstreamEntry,
): void {
  progress.origin ??= { softwareVersion };
  const request = headers.resumedRequestId ??
    (headers.lastEventId === undefined ? headers.requestId : undefined);
  if (request === undefined || softwareVersion === undefined) return;
  if (!route.isResumable) return;
  const version = softwareVersion;
  host.streamVersions.recordBegun({ service, request, version });
}
