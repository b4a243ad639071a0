/**
 * Determines how the end of a response body is marked.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type { BodyFraming } from "../diagnostics/mod.ts";

/** Statuses whose responses have no body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Returns the framing of the response to a request with this method. */
export function getBodyFraming(
  { headers, statusCode = 0 }: Pick<IncomingMessage, "headers" | "statusCode">,
  method: string,
): BodyFraming {
  if (method === "HEAD" || BODILESS_STATUSES.has(statusCode)) return "none";
  const encoding = headers["transfer-encoding"];
  if (encoding !== undefined) {
    return isChunkedLast(encoding) ? "chunked" : "until-close";
  }
  return headers["content-length"] === undefined ? "until-close" : "length";
}

/** Whether the last of the encodings, which are separated by commas, is chunks. */
function isChunkedLast(encodings: string): boolean {
  const last = encodings.split(",").at(-1)!;
  return last.trim().toLowerCase() === "chunked";
}
