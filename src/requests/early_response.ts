/**
 * Ends responses whose request's body may still be arriving.
 *
 * Failure prevented: a server that responds early and closes its connection
 * while the caller sends on resets it, and the caller may lose the response. It
 * is sent whole at once, and ended, and so possibly its connection, only once the
 * body has been read (RFC 9112, section 9.6).
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import { startTimeout } from "../core/mod.ts";

/** Limit on the time for which the rest of a body is read and dropped, in ms. */
const MAX_DROPPING_MS = 10_000;

/**
 * Sends the body of a response whose headers, with `Content-Length`, were set,
 * and ends it once the request's body has arrived.
 */
export function endAfterRequest(res: ServerResponse, body: string): void {
  const { req } = res;
  if (req.complete || !hasBody(req)) return void res.end(body);
  res.write(body);
  const timeout = startTimeout(MAX_DROPPING_MS, () => res.end());
  req.once("end", () => res.end());
  res.once("close", () => timeout[Symbol.dispose]());
  req.resume();
}

/** Whether the request announces a body. */
export function hasBody({ headers }: IncomingMessage): boolean {
  return headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
}
