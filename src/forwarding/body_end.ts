/**
 * Decides whether a response body that was read to its end is complete.
 *
 * Where a length or the last chunk marks the end, the parser has seen it or has
 * not. A body without either ends with its connection, which proves less: the
 * connections of a process that is killed end in order as well. Such a body
 * counts only if no reset followed its end, and if its upstream still accepts
 * connections.
 *
 * @module
 */

import { type ConnectResult, showsEndedProcess } from "../crashes/mod.ts";
import type { ConnectionEnd } from "./connection_end.ts";

/** What is known of the end of a body that was read to its end. */
export type BodyEnd =
  | {
    readonly kind: "framed";
    /** Whether the parser has seen the end that the framing announced. */
    readonly isReceived: boolean;
  }
  | {
    readonly kind: "until-close";
    readonly connection: ConnectionEnd;
    /** Result of an attempt to connect after the body had ended. */
    readonly contact: ConnectResult;
  };

/** Reason for a body that ended before its length or its last chunk. */
export const TRUNCATED = "The response body is truncated";

/** Returns why the body is truncated; `undefined` if it is complete. */
export function tryGetTruncation(end: BodyEnd): string | undefined {
  if (end.kind === "framed") {
    return end.isReceived ? undefined : TRUNCATED;
  }
  if (end.connection === "failed") {
    return "The connection failed behind a response body without a length";
  }
  if (showsEndedProcess(end.contact)) {
    return "The upstream has ended behind a response body without a length";
  }
  return undefined;
}
