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
import type { ConnectResult } from "../crashes/mod.ts";
import { getBodyFraming } from "../upstreams/mod.ts";
import type { Attempt, Call, ForwardHost } from "./call.ts";
import {
  createEventSplitter,
  createOversizedError,
  type EventChunk,
} from "./event_splitter.ts";
import { getEndToEndHeaders } from "./headers.ts";
import { createPauseSampler, type PauseSampler } from "./pause_sampler.ts";
import { createProvenParts } from "./proven_parts.ts";
import { createDroppedError, receiveBody } from "./response_body.ts";
import { tryGetSilenceLimitMs } from "./silence_limits.ts";
import { recordFirstEvent } from "./stream_origin.ts";
import { AttemptFailed } from "./types.ts";
import type { UpstreamResponse } from "./upstream_call.ts";

/** Gives the events of one response to the caller. */
interface EventRelay {
  /** Relays the events; returns `false` if the caller must read first. */
  relay(chunk: EventChunk): boolean;
  /** The caller has read, and the host reads the upstream again. */
  onResumed(): void;
  /** Ends the caller's response as complete. */
  end(): void;
}

/** What is relayed. */
export interface StreamRelay {
  readonly response: UpstreamResponse;
  /** Called right before events, or the end of the stream, are relayed. */
  onDelivering(): void;
}

/**
 * Relays the stream to its end. Fails if the stream is truncated. Interruption,
 * as when the caller disconnects, aborts the upstream's response.
 */
export function relayStream(
  host: ForwardHost,
  call: Call,
  attempt: Attempt,
  { response, onDelivering }: StreamRelay,
): Effect.Effect<void, AttemptFailed> {
  return Effect.callback<void, AttemptFailed>((resume) => {
    const { silence, upstream } = attempt;
    const splitter = createEventSplitter();
    const events = createEventRelay(host, call, { attempt, response });
    const silenceLimitMs = tryGetSilenceLimitMs(call.route, Infinity);
    const getHeldBytes = () => splitter.getIncomplete().length;
    const held = host.responseMemory.hold({
      getHeldBytes,
      drop: () => fail(createDroppedError(getHeldBytes())),
    });
    let hasEnded = false;

    function stop(): void {
      hasEnded = true;
      held[Symbol.dispose]();
      silence[Symbol.dispose]();
    }

    function end(result: Effect.Effect<void, AttemptFailed>): void {
      stop();
      resume(result);
    }

    function fail(failure: AttemptFailed): void {
      end(Effect.fail(failure));
      response.abort();
    }

    function awaitEvent(): void {
      if (silenceLimitMs === undefined || hasEnded) return;
      silence.enter("events", silenceLimitMs);
    }

    /** Nothing is read meanwhile, so that the upstream is not silent. */
    function awaitCaller(): void {
      silence.pause();
      response.res.pause();
      call.res.once("drain", () => {
        events.onResumed();
        response.onRead();
        response.res.resume();
        awaitEvent();
      });
    }

    function onChunk(bytes: Buffer): void {
      host.health.recordActivity(upstream.id);
      const chunk = splitter.push(bytes);
      if (chunk !== undefined) relayEvents(chunk);
      if (splitter.isOversized()) return fail(createOversizedError());
      held.onGrown(bytes.length);
    }

    function relayEvents(chunk: EventChunk): void {
      onDelivering();
      if (!events.relay(chunk)) awaitCaller();
    }

    function endsInsideEvent(): boolean {
      return splitter.getIncomplete().length > 0;
    }

    /** An end inside an event shows more than a missing proof of the end. */
    function correctFailure(failure: AttemptFailed): AttemptFailed {
      const { contact } = failure;
      if (contact === undefined || !endsInsideEvent()) return failure;
      return createBrokenOffError(contact);
    }

    function finish(): Effect.Effect<void, AttemptFailed> {
      if (endsInsideEvent()) return Effect.fail(createBrokenOffError());
      if (endsBeforeEvents(call, attempt, response)) {
        return Effect.fail(createNoEventsError());
      }
      onDelivering();
      events.end();
      return Effect.void;
    }

    awaitEvent();
    receiveBody(response, {
      onChunk,
      onEnd: (result) =>
        end(
          result.pipe(Effect.mapError(correctFailure), Effect.flatMap(finish)),
        ),
    });
    return Effect.sync(() => {
      if (hasEnded) return;
      stop();
      response.abort();
    });
  });
}

function createBrokenOffError(contact?: ConnectResult): AttemptFailed {
  const reason = "The stream ended in the middle of an event";
  return new AttemptFailed({ kind: "cut-off", reason, contact });
}

/**
 * Whether the response ended without an event, and with nothing but its
 * connection: an upstream that stops behind its head ends the same way.
 */
function endsBeforeEvents(
  { req }: Call,
  { firstEventsMs }: Attempt,
  response: UpstreamResponse,
): boolean {
  if (firstEventsMs !== undefined) return false;
  return getBodyFraming(response.res, req.method ?? "GET") === "until-close";
}

function createNoEventsError(): AttemptFailed {
  const reason = "A stream without a length ended before its first event";
  return new AttemptFailed({ kind: "broken", reason });
}

function createEventRelay(
  host: ForwardHost,
  call: Call,
  { attempt, response }: {
    readonly attempt: Attempt;
    readonly response: UpstreamResponse;
  },
): EventRelay {
  const { res: caller, progress } = call;
  const { trace } = response;
  const pauseSampler = createSampler(host, call, attempt);
  const proven = createProvenParts(host, call, attempt);
  let lastChunkMs: number | undefined;
  let resumedMs = -Infinity;

  function onFirstEvent(nowMs: number): void {
    attempt.endPrefill();
    attempt.firstEventsMs = nowMs;
    progress.firstEventMs ??= nowMs - call.arrivedMs;
    const { queuedTokens, startedMs, isUpstreamCold, fetch, upstream } =
      attempt;
    if (queuedTokens === undefined || isUpstreamCold) return;
    // How long a fetch takes, or a prefill in place of one that failed, shows
    // nothing of the prefill speed.
    if (fetch !== undefined) return;
    const tookMs = nowMs - startedMs - host.getUnreadMs();
    host.getPacing(upstream)
      .recordFirstEvent(queuedTokens, Math.max(0, tookMs));
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
      proven.onEvents(nowMs, host.getUnreadMs());
      progress.chunks++;
      if (progress.eventVersions.size === 0) {
        recordFirstEvent(host, call, attempt.upstream);
      }
      progress.eventVersions.add(attempt.upstream.softwareVersion);
      if (!caller.headersSent) startStream(call, response);
      progress.lastEventId = lastEventId ?? progress.lastEventId;
      trace.onRelayed(bytes.length);
      const mayContinue = caller.write(bytes);
      if (!mayContinue) trace.onPaused(nowMs);
      return mayContinue;
    },
    onResumed() {
      resumedMs = host.clock.monotonicMs();
      proven.onResumed(resumedMs);
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
 * its upstream; `undefined` if the route has no pause target, or if the upstream
 * is cold: it is slower than the limit is learned for.
 */
function createSampler(
  host: ForwardHost,
  { route }: Call,
  { isUpstreamCold, upstream }: Attempt,
): PauseSampler | undefined {
  const { pauseTargetMs } = route;
  if (pauseTargetMs === undefined || isUpstreamCold) return undefined;
  return createPauseSampler({
    targetMs: pauseTargetMs,
    onSample: host.getPacing(upstream).recordPause,
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
