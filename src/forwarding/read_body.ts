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
import { Rejected } from "./rejections.ts";

/** Time-out for reading a body, in ms. The request has not run by then. */
const BODY_TIMEOUT_MS = 10_000;

/** A request and the response to it, as provided by Node's server. */
export interface Exchange {
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
}

/** Reads the body; rejects the request if the body exceeds `maxBytes`. */
export function readBody(
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
      else reject(413, `The request body is larger than ${maxBytes} bytes`);
    }

    function onEnd(): void {
      finish(Effect.succeed(Buffer.concat(chunks)));
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
      () => finish(Effect.fail(createDisconnected())),
    );
    return Effect.sync(stop);
  });
}
