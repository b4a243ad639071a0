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
import { AttemptFailed, type Silence } from "./types.ts";
import type { UpstreamResponse } from "./upstream_call.ts";

/**
 * A resumable stream that delivers no event within this time, in ms, is resumed
 * at another upstream. This is four times the longest pause that counts as on
 * time, and less than the 2 s or more after which callers disconnect.
 */
const STREAM_IDLE_TIMEOUT_MS = 1_600;

/** Gives the events of one response to the caller. */
interface EventRelay {
  /** Relays the events; returns `false` if the caller must read first. */
  relay(chunk: EventChunk): boolean;
  /** The caller has read, and the host reads the upstream again. */
  onResumed(): void;
  /** Ends the caller's response as complete. */
  end(): void;
}

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
    const { progress, route } = call;
    const splitter = createEventSplitter();
    const events = createEventRelay(host, call, { picked, response });
    const canFailOver = route.isResumable &&
      progress.possibleRuns < route.maxAttempts;
    let idleTimeout: ReadAwareTimeout | undefined;
    let hasEnded = false;

    function stop(): void {
      hasEnded = true;
      idleTimeout?.[Symbol.dispose]();
    }

    function end(result: Effect.Effect<void, AttemptFailed>): void {
      stop();
      resume(result);
    }

    function onIdle(): void {
      const limitMs = STREAM_IDLE_TIMEOUT_MS;
      const reason = `No event within ${limitMs} ms`;
      const silence: Silence = { phase: "events", limitMs };
      end(Effect.fail(new AttemptFailed({ kind: "silent", reason, silence })));
      response.abort();
    }

    function awaitEvent(): void {
      if (!canFailOver || hasEnded) return;
      idleTimeout = startTimeout(STREAM_IDLE_TIMEOUT_MS, onIdle);
    }

    /** Nothing is read meanwhile, so that the upstream is not idle. */
    function awaitCaller(): void {
      idleTimeout?.[Symbol.dispose]();
      response.res.pause();
      call.res.once("drain", () => {
        events.onResumed();
        response.onRead();
        response.res.resume();
        awaitEvent();
      });
    }

    function onChunk(bytes: Buffer): void {
      host.health.recordActivity(picked.upstream.id);
      idleTimeout?.restart();
      const chunk = splitter.push(bytes);
      if (chunk !== undefined && !events.relay(chunk)) awaitCaller();
    }

    function finish(): Effect.Effect<void, AttemptFailed> {
      if (splitter.getIncomplete().length > 0) {
        const reason = "The stream ended in the middle of an event";
        return Effect.fail(new AttemptFailed({ kind: "broken", reason }));
      }
      events.end();
      return Effect.void;
    }

    awaitEvent();
    receiveBody(response, {
      onChunk,
      onEnd: (result) => end(result.pipe(Effect.flatMap(finish))),
    });
    return Effect.sync(() => {
      if (hasEnded) return;
      stop();
      response.abort();
    });
  });
}

function createEventRelay(
  host: ForwardHost,
  call: Call,
  { picked, response }: {
    readonly picked: PickedUpstream;
    readonly response: UpstreamResponse;
  },
): EventRelay {
  const { res: caller, progress } = call;
  const { trace } = response;
  const pauseSampler = createSampler(host, call);
  let lastChunkMs: number | undefined;
  let resumedMs = -Infinity;

  function onFirstEvent(nowMs: number): void {
    progress.endPrefill();
    progress.firstEventMs ??= nowMs - call.arrivedMs;
    if (picked.queuedTokens === undefined || progress.isUpstreamCold) return;
    const tookMs = nowMs - progress.attemptStartedMs - host.getUnreadMs();
    host.getPacing(call.service)
      .recordFirstEvent(picked.queuedTokens, Math.max(0, tookMs));
  }

  function recordPause(nowMs: number): void {
    if (lastChunkMs === undefined) onFirstEvent(nowMs);
    const sinceMs = lastChunkMs ?? nowMs;
    progress.longestPauseMs = Math.max(
      progress.longestPauseMs,
      nowMs - sinceMs,
    );
    lastChunkMs = nowMs;
    // The time for which events waited unread, during a long event-loop
    // iteration or for a slow caller, is no pause of the upstream.
    const readMs = nowMs - Math.max(sinceMs, resumedMs);
    pauseSampler?.addPause(readMs - host.getUnreadMs(), nowMs);
  }

  return {
    relay({ bytes, lastEventId }) {
      const nowMs = host.clock.monotonicMs();
      recordPause(nowMs);
      progress.chunks++;
      if (!caller.headersSent) startStream(call, response);
      progress.lastEventId = lastEventId ?? progress.lastEventId;
      trace.onRelayed(bytes.length);
      const mayContinue = caller.write(bytes);
      if (!mayContinue) trace.onPaused(nowMs);
      return mayContinue;
    },
    onResumed() {
      resumedMs = host.clock.monotonicMs();
      trace.onResumed(resumedMs);
    },
    end() {
      pauseSampler?.end();
      if (!caller.headersSent) startStream(call, response);
      caller.end();
    },
  };
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
