/**
 * Reads a request's body whole before anything is sent on: its length is then
 * known, it can be sent again, and a slow caller holds no upstream.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import * as Effect from "effect/Effect";
import { Rejected } from "./replies.ts";

/** A body that takes longer is given up, in ms; nothing has run by then. */
const BODY_LIMIT_MS = 10_000;

/** Reads up to the bytes given. */
export function readWholeBody(
  req: IncomingMessage,
  maxBytes: number,
): Effect.Effect<Buffer, Rejected> {
  return Effect.callback<Buffer, Rejected>((resume) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const onData = (chunk: Buffer) => {
      size += chunk.length;
      if (size > maxBytes) {
        const reason = `The body is larger than ${maxBytes} bytes`;
        resume(Effect.fail(new Rejected({ status: 413, reason })));
      } else chunks.push(chunk);
    };
    const onEnd = () => resume(Effect.succeed(Buffer.concat(chunks)));
    req.on("data", onData);
    req.on("end", onEnd);
    return Effect.sync(() => {
      req.off("data", onData);
      req.off("end", onEnd);
    });
  }).pipe(Effect.timeoutOrElse({
    duration: BODY_LIMIT_MS,
    orElse: () => {
      const reason = `The body did not arrive in ${BODY_LIMIT_MS} ms`;
      return Effect.fail(new Rejected({ status: 408, reason }));
    },
  }));
}
