/**
 * Receives the body of an upstream's response, and fails unless it is complete:
 * each of its bytes has been read here, and its end is proven.
 *
 * That a response has been received completely does not mean that it has been
 * read: while its caller reads slowly, the rest of it waits in the response's
 * buffer.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import * as Effect from "effect/Effect";
import { startTimeout } from "../core/mod.ts";
import { createBodyPieces } from "./body_pieces.ts";
import { createTruncatedError, tryGetBodyFailure } from "./body_end.ts";
import type { HeldMemory } from "./held_memory.ts";
import { AttemptFailed, type Silence } from "./types.ts";
import type { UpstreamResponse } from "./upstream_call.ts";

/** What a body is received for. */
export interface BodyReader {
  /** Called with each piece of the body, in order. */
  onChunk(chunk: Buffer): void;
  /** Called once, with an effect that fails if the body is not complete. */
  onEnd(result: Effect.Effect<void, AttemptFailed>): void;
}

/**
 * Starts to read the body. A response whose connection has failed before its end
 * was received ends at once.
 */
export function receiveBody(
  response: UpstreamResponse,
  reader: BodyReader,
): void {
  const { res, trace } = response;
  let hasEnded = false;

  function end(result: Effect.Effect<void, AttemptFailed>): void {
    if (hasEnded) return;
    hasEnded = true;
    reader.onEnd(result);
  }

  function endTruncated(): void {
    end(Effect.fail(response.tryGetBreach() ?? createTruncatedError()));
  }

  if (res.destroyed) return endTruncated();
  res.on("data", (chunk: Buffer) => {
    trace.onRead(chunk.length);
    response.onRead();
    try {
      reader.onChunk(chunk);
    } catch (err) {
      // Uncaught in a listener, it would end the process and all its requests.
      end(Effect.die(err));
      response.abort();
    }
  });
  res.on("end", () => end(checkComplete(response)));
  res.on("close", endTruncated);
}

/** What limits the reading of a complete body. */
export interface BodyLimits {
  readonly maxBytes: number;
  readonly timeoutMs: number;
  /** Counts the body while it is read, and may have it dropped. */
  readonly memory: HeldMemory;
}

/**
 * Reads the complete body. Fails if it is truncated, exceeds the size limit or
 * is dropped.
 */
export function readResponseBody(
  response: UpstreamResponse,
  limits: BodyLimits,
): Effect.Effect<readonly Buffer[], AttemptFailed> {
  return Effect.callback<readonly Buffer[], AttemptFailed>((resume) => {
    const pieces = createBodyPieces();
    let size = 0;
    let hasEnded = false;

    function end(result: Effect.Effect<void, AttemptFailed>): void {
      hasEnded = true;
      stop();
      resume(result.pipe(Effect.map(() => pieces.take())));
    }

    function stop(): void {
      timeout[Symbol.dispose]();
      held[Symbol.dispose]();
    }

    function fail(failure: AttemptFailed): void {
      pieces.take();
      end(Effect.fail(failure));
      response.abort();
    }

    function failTooLarge(): void {
      const reason = "The response is too large";
      fail(new AttemptFailed({ kind: "broken", reason }));
    }

    function failSilent(): void {
      const silence: Silence = { phase: "body", limitMs: limits.timeoutMs };
      const reason =
        `The response body did not arrive within ${limits.timeoutMs} ms`;
      fail(new AttemptFailed({ kind: "silent", reason, silence }));
    }

    function onChunk(chunk: Buffer): void {
      size += chunk.length;
      if (size > limits.maxBytes) return failTooLarge();
      pieces.append(chunk);
      held.onGrown(chunk.length);
    }

    const held = limits.memory.hold({
      getHeldBytes: () => size,
      drop: () => fail(createDroppedError(size)),
    });

    const timeout = startTimeout(limits.timeoutMs, failSilent);
    receiveBody(response, { onChunk, onEnd: end });
    return Effect.sync(() => {
      stop();
      if (!hasEnded) response.abort();
    });
  });
}

function checkComplete(
  response: UpstreamResponse,
): Effect.Effect<void, AttemptFailed> {
  return response.bodyEnd.pipe(
    Effect.flatMap((end) => {
      const failure = tryGetBodyFailure(end);
      return failure === undefined ? Effect.void : Effect.fail(failure);
    }),
  );
}

/** Creates the failure of a response that was dropped while it arrived. */
export function createDroppedError(heldBytes: number): AttemptFailed {
  const reason =
    `The host has no room for responses, of which this one held the most: ${heldBytes} bytes`;
  return new AttemptFailed({ kind: "broken", reason });
}
