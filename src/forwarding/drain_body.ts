/**
 * Reads and drops the body of a response that nobody needs, so that its
 * connection can be reused. A body that is too large or does not end costs more
 * than a new connection; its connection is closed.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import { startTimeout } from "../core/mod.ts";
import type { UpstreamResponse } from "./upstream_call.ts";

/** Why a body was not drained to its end, and how much of it was read. */
export interface UndrainedBody {
  readonly reason: string;
  readonly readBytes: number;
}

/** Most bytes that are read for the sake of a connection. */
export const MAX_DRAINED_BYTES = 64 * 1024;

/** Time-out of a body that is drained, in ms. */
const DRAIN_TIMEOUT_MS = 1_000;

/**
 * Drains the body; `onClosed` is called if its connection is closed instead.
 */
export function drainBody(
  response: UpstreamResponse,
  onClosed: (body: UndrainedBody) => void,
): void {
  const { res, trace } = response;
  let readBytes = 0;

  function close(reason: string): void {
    timeout[Symbol.dispose]();
    response.abort();
    onClosed({ reason, readBytes });
  }

  if (res.destroyed) return;
  const timeout = startTimeout(
    DRAIN_TIMEOUT_MS,
    () => close(`The body did not end within ${DRAIN_TIMEOUT_MS} ms`),
  );
  res.on("close", () => timeout[Symbol.dispose]());
  res.on("data", (bytes: Buffer) => {
    readBytes += bytes.length;
    trace.onRead(bytes.length);
    if (readBytes <= MAX_DRAINED_BYTES) return;
    close(`The body is larger than ${MAX_DRAINED_BYTES} bytes`);
  });
}
