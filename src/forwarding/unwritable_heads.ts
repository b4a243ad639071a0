/**
 * Finds heads of responses that can't be passed on: names and statuses that
 * Node's client accepts and its server refuses to write, a status that only an
 * interim response may have, for which a caller would wait on, and a body in a
 * transfer coding that a caller would take for the body itself (RFC 9112, 6.1).
 *
 * @module
 */

import { type IncomingMessage, validateHeaderName } from "node:http";

/** Lowest and highest status of a final response (RFC 9110, section 15). */
const MIN_STATUS = 200;
const MAX_STATUS = 999;

/** What of the head can't be written; `undefined` if all can. */
export function tryGetUnwritablePart(
  { statusCode = 0, headers, rawHeaders }: Pick<
    IncomingMessage,
    "statusCode" | "headers" | "rawHeaders"
  >,
): string | undefined {
  if (statusCode < MIN_STATUS || statusCode > MAX_STATUS) {
    return `The status ${statusCode} is none of a final response`;
  }
  const coding = headers["transfer-encoding"];
  if (coding !== undefined && !/^\s*chunked\s*$/i.test(coding)) {
    return `The transfer coding ${JSON.stringify(coding)} is not undone here`;
  }
  const name = rawHeaders.find((each, at) => at % 2 === 0 && !isName(each));
  return name === undefined
    ? undefined
    : `The name ${JSON.stringify(name)} is none of a header`;
}

function isName(text: string): boolean {
  try {
    validateHeaderName(text);
    return true;
  } catch {
    return false;
  }
}
