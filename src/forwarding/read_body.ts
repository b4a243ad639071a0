/**
 * Reads the complete body of a request before the request is forwarded. The
 * length is then known, the request can be sent again, and a slow caller does
 * not occupy an upstream.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { IncomingMessage, ServerResponse } from "node:http";
import * as Effect from "effect/Effect";
import { startTimeout } from "../core/mod.ts";
import {
  type CallerLost,
  createDisconnected,
  onCallerDisconnected,
} from "../requests/caller.ts";
import { createBodyPieces } from "./body_pieces.ts";
import type { HeldMemory } from "./held_memory.ts";
import { createNotRunRejection, Rejected } from "./rejections.ts";
import { holdRequestBody } from "./request_memory.ts";

/** Time-out for reading a body, in ms. The request has not run by then. */
const BODY_TIMEOUT_MS = 10_000;

/**
 * Retry delay of a request for whose body there is no room, in ms: a less busy
 * host can take it.
 */
const NO_ROOM_RETRY_MS = 200;

/** What limits the reading of a body. */
export interface BodyReadLimits {
  readonly maxBytes: number;
  /** Counts the body, and may have it dropped. */
  readonly memory: HeldMemory;
}

/** A body that was read whole. It counts as held until it is disposed of. */
export interface ReadBody extends Disposable {
  readonly bytes: Buffer;
}

/** A request and the response to it, as provided by Node's server. */
export interface Exchange {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
}

/**
 * Reads the body; rejects the request if the body exceeds `maxBytes`, or if this
 * host has no room for it.
 */
export function readBody(
  { req, res }: Exchange,
  { maxBytes, memory }: BodyReadLimits,
): Effect.Effect<ReadBody, Rejected | CallerLost> {
  return Effect.callback<ReadBody, Rejected | CallerLost>((resume) => {
    const pieces = createBodyPieces();
    let size = 0;
    const held = holdRequestBody(memory, () => {
      const reason =
        `This host has no room for request bodies, of which this one held the most: ${size} bytes`;
      fail(createNotRunRejection(reason, NO_ROOM_RETRY_MS));
    });

    function fail(err: Rejected | CallerLost): void {
      stop();
      held[Symbol.dispose]();
      pieces.take();
      resume(Effect.fail(err));
    }

    function reject(status: 408 | 413, reason: string): void {
      fail(new Rejected({ status, reason }));
    }

    function onData(chunk: Buffer): void {
      size += chunk.length;
      if (size > maxBytes) {
        const reason = `The request body is larger than ${maxBytes} bytes`;
        return reject(413, reason);
      }
      pieces.append(chunk);
      held.onRead(chunk.length);
    }

    function onEnd(): void {
      stop();
      held.onComplete();
      const bytes = Buffer.concat(pieces.take());
      resume(Effect.succeed({ bytes, [Symbol.dispose]: held[Symbol.dispose] }));
    }

    function stop(): void {
      timeout[Symbol.dispose]();
      req.off("data", onData);
      req.off("end", onEnd);
      caller[Symbol.dispose]();
    }

    const timeout = startTimeout(
      BODY_TIMEOUT_MS,
      () =>
        reject(
          408,
          `The request body did not arrive within ${BODY_TIMEOUT_MS} ms`,
        ),
    );
    req.on("data", onData);
    req.on("end", onEnd);
    const caller = onCallerDisconnected(
      res,
      () => fail(createDisconnected()),
    );
    return Effect.sync(() => {
      stop();
      held[Symbol.dispose]();
    });
  });
}
