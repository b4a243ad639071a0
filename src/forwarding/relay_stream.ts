/**
 * Relays the events of a stream as they arrive: complete events only, and no
 * faster than the caller reads them. The response head is sent together with
 * the first event, so that until then another upstream can take over without
 * the caller noticing.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import * as Effect from "effect/Effect";
import { type ReadAwareTimeout, startTimeout } from "../core/mod.ts";
import type { Call, ForwardHost } from "./call.ts";
import { createEventSplitter, type EventChunk } from "./event_splitter.ts";
import { getEndToEndHeaders } from "./headers.ts";
import { createPauseSampler, type PauseSampler } from "./pause_sampler.ts";
import type { PickedUpstream } from "./pick_upstream.ts";
import { receiveBody } from "./response_body.ts";
import { AttemptFailed } from "./types.ts";
import type { UpstreamResponse } from "./upstream_call.ts";

/**
 * A resumable stream that delivers no event within this time, in ms, is resumed
 * at another upstream. This is four times the longest pause that counts as on
 * time, and less than the 2 s or more after which callers disconnect.
 */
const STREAM_IDLE_TIMEOUT_MS = 1_600;

/**
 * Relays the stream to its end. Fails if the stream is truncated. Interruption,
 * as when the caller disconnects, aborts the upstream's response.
 */
export function relayStream(
  host: ForwardHost,
  call: Call,
  picked: PickedUpstream,
  response: UpstreamResponse,
): Effect.Effect<void, AttemptFailed> {
  return Effect.callback<void, AttemptFailed>((resume) => {
    const { res: caller, progress, route } = call;
    const { res: upstreamRes, trace } = response;
    const splitter = createEventSplitter();
    const canFailOver = route.isResumable &&
      progress.possibleRuns < route.maxAttempts;
    let idleTimeout: ReadAwareTimeout | undefined;
    let hasEnded = false;

    function end(result: Effect.Effect<void, AttemptFailed>): void {
      hasEnded = true;
      idleTimeout?.[Symbol.dispose]();
      resume(result);
    }

    function onIdle(): void {
      const reason = `No event within ${STREAM_IDLE_TIMEOUT_MS} ms`;
      end(Effect.fail(new AttemptFailed({ kind: "silent", reason })));
      response.abort();
    }

    function awaitEvent(): void {
      if (!canFailOver || hasEnded) return;
      idleTimeout = startTimeout(STREAM_IDLE_TIMEOUT_MS, onIdle);
    }

    /** Nothing is read meanwhile, so that the upstream is not idle. */
    function awaitCaller(nowMs: number): void {
      idleTimeout?.[Symbol.dispose]();
      upstreamRes.pause();
      trace.onPaused(nowMs);
      caller.once("drain", () => {
        resumedMs = host.clock.monotonicMs();
        trace.onResumed(resumedMs);
        upstreamRes.resume();
        awaitEvent();
      });
    }

    function onFirstEvent(nowMs: number): void {
      progress.endPrefill();
      progress.firstEventMs ??= nowMs - call.arrivedMs;
      if (picked.queuedTokens === undefined || progress.isUpstreamCold) return;
      const tookMs = nowMs - progress.attemptStartedMs - host.getUnreadMs();
      host.getPacing(call.service)
        .recordFirstEvent(picked.queuedTokens, Math.max(0, tookMs));
    }

    let lastChunkMs: number | undefined;
    let resumedMs = -Infinity;
    function relayChunk(chunk: EventChunk): void {
      const nowMs = host.clock.monotonicMs();
      if (lastChunkMs === undefined) onFirstEvent(nowMs);
      const pauseMs = nowMs - (lastChunkMs ?? nowMs);
      progress.longestPauseMs = Math.max(progress.longestPauseMs, pauseMs);
      progress.chunks++;
      lastChunkMs = nowMs;
      // The time for which events waited unread, during a long event-loop
      // iteration or for a slow caller, is no pause of the upstream.
      const readMs = nowMs - Math.max(nowMs - pauseMs, resumedMs);
      pauseSampler?.addPause(readMs - host.getUnreadMs(), nowMs);
      if (!caller.headersSent) startStream(call, response);
      progress.lastEventId = chunk.lastEventId ?? progress.lastEventId;
      trace.onRelayed(chunk.bytes.length);
      if (!caller.write(chunk.bytes)) awaitCaller(nowMs);
    }

    function onChunk(bytes: Buffer): void {
      host.health.recordActivity(picked.upstream.id);
      idleTimeout?.restart();
      const chunk = splitter.push(bytes);
      if (chunk !== undefined) relayChunk(chunk);
    }

    function finish(): Effect.Effect<void, AttemptFailed> {
      if (splitter.getIncomplete().length > 0) {
        const reason = "The stream ended in the middle of an event";
        return Effect.fail(new AttemptFailed({ kind: "broken", reason }));
      }
      pauseSampler?.end();
      if (!caller.headersSent) startStream(call, response);
      caller.end();
      return Effect.void;
    }

    const pauseSampler = createSampler(host, call);
    awaitEvent();
    receiveBody(response, {
      onChunk,
      onEnd: (result) => end(result.pipe(Effect.flatMap(finish))),
    });
    return Effect.sync(() => {
      if (hasEnded) return;
      hasEnded = true;
      idleTimeout?.[Symbol.dispose]();
      response.abort();
    });
  });
}

/**
 * Creates a sampler that reports the pauses of one response to the pacing of
 * its service; `undefined` if the route has no pause target, or if the upstream
 * is cold: it is slower than the limit is learned for.
 */
function createSampler(
  host: ForwardHost,
  { route, service, progress }: Call,
): PauseSampler | undefined {
  const { pauseTargetMs } = route;
  if (pauseTargetMs === undefined || progress.isUpstreamCold) return undefined;
  return createPauseSampler({
    targetMs: pauseTargetMs,
    onSample: host.getPacing(service).recordPause,
  });
}

function startStream(call: Call, response: UpstreamResponse): void {
  const { res } = call;
  const { rawHeaders, statusCode = 200 } = response.res;
  const headers = getEndToEndHeaders(rawHeaders);
  if (mustClose(res)) headers.push("Connection", "close");
  call.progress.status = statusCode;
  res.writeHead(statusCode, headers);
}

/** Whether the connection to the caller is to be closed after this response. */
function mustClose(res: ServerResponse): boolean {
  return res.getHeader("connection") !== undefined;
}
