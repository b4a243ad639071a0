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
import { startTimeout } from "../core/mod.ts";
import {
  type CallerLost,
  createDisconnected,
  onCallerDisconnected,
} from "../requests/caller.ts";
import type { Call, ForwardHost } from "./call.ts";
import { createEventFrames, type EventChunk } from "./event_frames.ts";
import { getForwardable } from "./headers.ts";
import { createPauseNotes, type PauseNotes } from "./pause_notes.ts";
import type { Picked } from "./pick_upstream.ts";
import { AttemptFailed } from "./types.ts";
import { createEndedEarly, type OpenAnswer } from "./upstream_call.ts";

/**
 * A resumable stream that is silent for so long, in ms, goes on elsewhere: four
 * times the pause that is still on time, and less than the 2 s and more after
 * which callers leave.
 */
const RESUME_SILENCE_MS = 1_600;

/** Passes on to the end; fails when the stream ends early. */
export function passOnStream(
  host: ForwardHost,
  call: Call,
  picked: Picked,
  answer: OpenAnswer,
): Effect.Effect<void, AttemptFailed | CallerLost> {
  return Effect.callback<void, AttemptFailed | CallerLost>((resume) => {
    const { res: caller, progress, route } = call;
    const { res: upstreamRes } = answer;
    const frames = createEventFrames();
    const mayMove = route.isResumable && progress.runs < route.maxAttempts;
    const silence = mayMove
      ? startTimeout(RESUME_SILENCE_MS, onSilence)
      : undefined;

    function onSilence(): void {
      answer.abort();
      const reason = `No event in ${RESUME_SILENCE_MS} ms`;
      resume(Effect.fail(new AttemptFailed({ kind: "silent", reason })));
    }

    function onFirstEvent(nowMs: number): void {
      progress.endReading();
      progress.firstEventMs ??= nowMs - call.arrivedMs;
      if (picked.queuedTokens === undefined) return;
      const tookMs = nowMs - progress.attemptedMs - host.getUnreadMs();
      host.getPacing(call.service)
        .noteFirstEvent(picked.queuedTokens, Math.max(0, tookMs));
    }

    let lastChunkMs: number | undefined;
    function passOn(chunk: EventChunk): void {
      const nowMs = host.clock.monotonicMs();
      if (lastChunkMs === undefined) onFirstEvent(nowMs);
      const pauseMs = nowMs - (lastChunkMs ?? nowMs);
      progress.longestPauseMs = Math.max(progress.longestPauseMs, pauseMs);
      progress.chunks++;
      lastChunkMs = nowMs;
      // What lay unread in a long turn is this host's pause, not the upstream's.
      notes?.note(pauseMs - host.getUnreadMs(), nowMs);
      if (!caller.headersSent) startStream(call, answer);
      progress.lastEventId = chunk.lastEventId ?? progress.lastEventId;
      if (caller.write(chunk.bytes)) return;
      upstreamRes.pause();
      caller.once("drain", () => upstreamRes.resume());
    }

    const notes = createNotes(host, call);
    upstreamRes.on("data", (bytes: Buffer) => {
      host.health.noteLife(picked.upstream.id);
      silence?.restart();
      const chunk = frames.push(bytes);
      if (chunk !== undefined) passOn(chunk);
    });
    function finish(isWhole: boolean): Effect.Effect<void, AttemptFailed> {
      if (!isWhole) return Effect.fail(createEndedEarly());
      if (frames.getPending().length > 0) {
        const reason = "The stream ended in the middle of an event";
        return Effect.fail(new AttemptFailed({ kind: "broken", reason }));
      }
      notes?.end();
      if (!caller.headersSent) startStream(call, answer);
      caller.end();
      return Effect.void;
    }

    upstreamRes.on("close", () => {
      silence?.[Symbol.dispose]();
      resume(answer.isWhole.pipe(Effect.flatMap(finish)));
    });
    const watch = onCallerDisconnected(
      caller,
      () => resume(Effect.fail(createDisconnected())),
    );
    return Effect.sync(() => {
      watch[Symbol.dispose]();
      silence?.[Symbol.dispose]();
      if (!upstreamRes.complete) answer.abort();
    });
  });
}

/** Tells the service's pacing of the pauses of one answer. */
function createNotes(
  host: ForwardHost,
  { route, service }: Call,
): PauseNotes | undefined {
  const { pauseTargetMs } = route;
  if (pauseTargetMs === undefined) return undefined;
  return createPauseNotes({
    targetMs: pauseTargetMs,
    onCounted: host.getPacing(service).notePause,
  });
}

function startStream(call: Call, answer: OpenAnswer): void {
  const { res } = call;
  const { rawHeaders, statusCode = 200 } = answer.res;
  const headers = getForwardable(rawHeaders);
  if (isClosing(res)) headers.push("Connection", "close");
  call.progress.status = statusCode;
  res.writeHead(statusCode, headers);
}

/** Whether the caller is to close the connection after this answer. */
function isClosing(res: ServerResponse): boolean {
  return res.getHeader("connection") !== undefined;
}
