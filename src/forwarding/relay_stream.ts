/**
 * Passes a stream's events on as they come, whole events only, at the pace at
 * which the caller reads. The head of the answer goes out with the first event:
 * until then another upstream can take over unseen.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import * as Effect from "effect/Effect";
import { startTimeLimit } from "../core/mod.ts";
import {
  type CallerLost,
  createVanished,
  onCallerLeft,
} from "../requests/caller.ts";
import type { Call, ForwardHost } from "./call.ts";
import { createEventSplitter, type EventChunk } from "./event_splitter.ts";
import { getForwardable } from "./headers.ts";
import { createPauseSampler, type PauseSampler } from "./pause_sampler.ts";
import type { PickedUpstream } from "./pick_upstream.ts";
import { AttemptFailed } from "./types.ts";
import {
  createTruncatedError,
  type UpstreamResponse,
} from "./upstream_call.ts";

/**
 * A resumable stream that is silent for so long, in ms, goes on elsewhere: four
 * times the pause that is still on time, and less than the 2 s and more after
 * which callers leave.
 */
const STREAM_IDLE_TIMEOUT_MS = 1_600;

/** Passes on to the end; fails when the stream ends early. */
export function relayStream(
  host: ForwardHost,
  call: Call,
  picked: PickedUpstream,
  response: UpstreamResponse,
): Effect.Effect<void, AttemptFailed | CallerLost> {
  return Effect.callback<void, AttemptFailed | CallerLost>((resume) => {
    const { res: caller, progress, route } = call;
    const { res: upstreamRes } = response;
    const splitter = createEventSplitter();
    const canFailOver = route.isResumable &&
      progress.possibleRuns < route.maxAttempts;
    const idleTimeout = canFailOver
      ? startTimeLimit(STREAM_IDLE_TIMEOUT_MS, onIdle)
      : undefined;

    function onIdle(): void {
      response.abort();
      const reason = `No event in ${STREAM_IDLE_TIMEOUT_MS} ms`;
      resume(Effect.fail(new AttemptFailed({ kind: "silent", reason })));
    }

    function onFirstEvent(nowMs: number): void {
      progress.endPrefill();
      progress.firstEventMs ??= nowMs - call.arrivedMs;
      if (picked.queuedTokens === undefined) return;
      const tookMs = nowMs - progress.attemptStartedMs - host.getUnreadMs();
      host.getPacing(call.service)
        .noteFirstEvent(picked.queuedTokens, Math.max(0, tookMs));
    }

    let lastChunkMs: number | undefined;
    function relayChunk(chunk: EventChunk): void {
      const nowMs = host.clock.monotonicMs();
      if (lastChunkMs === undefined) onFirstEvent(nowMs);
      const pauseMs = nowMs - (lastChunkMs ?? nowMs);
      progress.longestPauseMs = Math.max(progress.longestPauseMs, pauseMs);
      progress.chunks++;
      lastChunkMs = nowMs;
      // What lay unread in a long turn is this host's pause, not the upstream's.
      pauseSampler?.addPause(pauseMs - host.getUnreadMs(), nowMs);
      if (!caller.headersSent) startStream(call, response);
      progress.lastEventId = chunk.lastEventId ?? progress.lastEventId;
      if (caller.write(chunk.bytes)) return;
      upstreamRes.pause();
      caller.once("drain", () => upstreamRes.resume());
    }

    const pauseSampler = createSampler(host, call);
    upstreamRes.on("data", (bytes: Buffer) => {
      host.health.noteLife(picked.upstream.id);
      idleTimeout?.restart();
      const chunk = splitter.push(bytes);
      if (chunk !== undefined) relayChunk(chunk);
    });
    function finish(isComplete: boolean): Effect.Effect<void, AttemptFailed> {
      if (!isComplete) return Effect.fail(createTruncatedError());
      if (splitter.getIncomplete().length > 0) {
        const reason = "The stream ended in the middle of an event";
        return Effect.fail(new AttemptFailed({ kind: "broken", reason }));
      }
      pauseSampler?.end();
      if (!caller.headersSent) startStream(call, response);
      caller.end();
      return Effect.void;
    }

    upstreamRes.on("close", () => {
      idleTimeout?.[Symbol.dispose]();
      resume(response.isComplete.pipe(Effect.flatMap(finish)));
    });
    const callerWatch = onCallerLeft(
      caller,
      () => resume(Effect.fail(createVanished())),
    );
    return Effect.sync(() => {
      callerWatch[Symbol.dispose]();
      idleTimeout?.[Symbol.dispose]();
      if (!upstreamRes.complete) response.abort();
    });
  });
}

/** Tells the service's pacing of the pauses of one answer. */
function createSampler(
  host: ForwardHost,
  { route, service }: Call,
): PauseSampler | undefined {
  const { pauseTargetMs } = route;
  if (pauseTargetMs === undefined) return undefined;
  return createPauseSampler({
    targetMs: pauseTargetMs,
    onSample: host.getPacing(service).notePause,
  });
}

function startStream(call: Call, response: UpstreamResponse): void {
  const { res } = call;
  const { rawHeaders, statusCode = 200 } = response.res;
  const headers = getForwardable(rawHeaders);
  if (mustClose(res)) headers.push("Connection", "close");
  call.progress.status = statusCode;
  res.writeHead(statusCode, headers);
}

/** Whether the caller is to close the connection after this answer. */
function mustClose(res: ServerResponse): boolean {
  return res.getHeader("connection") !== undefined;
}
