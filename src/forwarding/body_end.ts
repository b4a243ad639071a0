/**
 * Decides whether a response body that was read to its end is complete.
 *
 * Where a length or the last chunk marks the end, the parser has seen it or has
 * not. A body without either ends with its connection, which proves less: the
 * connections of a process that is killed end in order as well. Such a body
 * counts only if no reset followed its end, and if its upstream has accepted a
 * connection since. One that answers no attempt to connect is not known to be
 * dead, and is asked until the deadline of the request.
 *
 * That proves nothing if the end may have waited unread for long: the process
 * that was killed may be back by then, and it is the next one that accepts.
 *
 * @module
 */

import type { ConnectResult } from "../crashes/mod.ts";
import type { ConnectionEnd } from "./connection_end.ts";
import { AttemptFailed } from "./types.ts";

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
    /** Time for which the end may have waited unread, in ms. */
    readonly unreadMs: number;
  };

/**
 * Time after its end, in ms, in which no process that was killed is back and
 * accepts connections.
 */
const MIN_RESTART_MS = 1_000;

/**
 * Returns the failure of a body that is not proven to be complete; `undefined`
 * if it is. An orderly end that lacks proof is no sign of a crash: an upstream
 * that stops, or that has no room for a connection, looks the same.
 */
export function tryGetBodyFailure(end: BodyEnd): AttemptFailed | undefined {
  if (end.kind === "framed") {
    return end.isReceived ? undefined : createTruncatedError();
  }
  if (end.connection === "failed") {
    const reason =
      "The connection failed behind a response body without a length";
    return new AttemptFailed({ kind: "cut-off", reason });
  }
  if (end.contact !== "accepted") {
    const reason =
      `A connection to the upstream was "${end.contact}" behind a response body without a length`;
    return new AttemptFailed({ kind: "broken", reason, contact: end.contact });
  }
  if (end.unreadMs >= MIN_RESTART_MS) {
    const reason =
      `The end of a response body without a length may have waited unread for ${
        Math.round(end.unreadMs)
      } ms`;
    return new AttemptFailed({ kind: "broken", reason, contact: end.contact });
  }
  return undefined;
}

/** Creates the failure of a body that ended before its length or last chunk. */
export function createTruncatedError(): AttemptFailed {
  const reason = "The response body is truncated";
  return new AttemptFailed({ kind: "cut-off", reason });
}
