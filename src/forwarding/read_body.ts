/**
 * Reads a request's body whole before anything is sent on: its length is then
 * known, it can be sent again, and a slow caller holds no upstream.
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
import { Rejected } from "./replies.ts";

/** A body that takes longer is given up, in ms; nothing has run by then. */
const BODY_LIMIT_MS = 10_000;

/** A request and its answer, as the server gives them. */
export interface Exchange {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
}

/** Reads up to the bytes given. */
export function readWholeBody(
  { req, res }: Exchange,
  maxBytes: number,
): Effect.Effect<Buffer, Rejected | CallerLost> {
  return Effect.callback<Buffer, Rejected | CallerLost>((resume) => {
    const chunks: Buffer[] = [];
    let size = 0;

    function finish(result: Effect.Effect<Buffer, Rejected | CallerLost>) {
      stop();
      resume(result);
    }

    function reject(status: 408 | 413, reason: string): void {
      finish(Effect.fail(new Rejected({ status, reason })));
    }

    function onData(chunk: Buffer): void {
      size += chunk.length;
      if (size <= maxBytes) chunks.push(chunk);
      else reject(413, `The body is larger than ${maxBytes} bytes`);
    }

    function onEnd(): void {
      finish(Effect.succeed(Buffer.concat(chunks)));
    }

    function stop(): void {
      limit[Symbol.dispose]();
      req.off("data", onData);
      req.off("end", onEnd);
      caller[Symbol.dispose]();
    }

    const limit = startTimeout(
      BODY_LIMIT_MS,
      () => reject(408, `The body did not arrive in ${BODY_LIMIT_MS} ms`),
    );
    req.on("data", onData);
    req.on("end", onEnd);
    const caller = onCallerDisconnected(
      res,
      () => finish(Effect.fail(createDisconnected())),
    );
    return Effect.sync(stop);
  });
}
