/**
 * Records what became of the body of one upstream's response: how many bytes
 * arrived, were read and were given to the caller, and how the upstream's
 * connection ended. Only records: nothing is decided by it.
 *
 * @module
 */

import type { IncomingMessage } from "node:http";
import type {
  BodyConnection,
  BodyFraming,
  LoggedBody,
} from "../diagnostics/mod.ts";
import { getBodyFraming } from "../upstreams/mod.ts";

/** The record of one response body, written by those who handle it. */
export interface BodyTrace {
  /** Bytes were handed to this host's reader. */
  onRead(bytes: number): void;
  /** Returns the bytes that have arrived, read or not. */
  getReceivedBytes(): number;
  /** Bytes were given to the caller's response. */
  onRelayed(bytes: number): void;
  /** Reading was paused because the caller does not read. */
  onPaused(nowMs: number): void;
  onResumed(nowMs: number): void;
  /**
   * The connection failed, or this host aborts it. To be called before the
   * request is destroyed, which discards what has not been read.
   */
  onConnectionEnd(connection: "failed" | "aborted", code?: string): void;
  /** The response is closed; its connection may serve another request. */
  onClosed(): void;
  toLog(nowMs: number): LoggedBody;
}

/** The part of a response that is recorded. */
export interface TracedResponse extends
  Pick<
    IncomingMessage,
    "headers" | "statusCode" | "readableLength" | "readableEnded" | "complete"
  > {
  readonly socket: TracedSocket;
}

/** The part of a response's connection that is recorded. */
export type TracedSocket = Pick<
  IncomingMessage["socket"],
  "readableEnded" | "writableEnded" | "destroyed"
>;

/** How the upstream's connection ended, and what had been received by then. */
interface ConnectionEnd {
  readonly connection: BodyConnection;
  readonly code: string | undefined;
  readonly receivedBytes: number;
}

/** Starts the record of the response to a request with this method. */
export function createBodyTrace(
  res: TracedResponse,
  method: string,
): BodyTrace {
  // Taken at the start: an ended response has no socket.
  const { socket } = res;
  const framing = getBodyFraming(res, method);
  let end: ConnectionEnd | undefined;
  let readBytes = 0;
  let relayedBytes = 0;
  let pausedMs = 0;
  let pausedSinceMs: number | undefined;

  function createEnd(connection: BodyConnection, code?: string): ConnectionEnd {
    return { connection, code, receivedBytes: getReceivedBytes() };
  }

  function getReceivedBytes(): number {
    return end?.receivedBytes ?? readBytes + res.readableLength;
  }

  function getPausedMs(nowMs: number): number {
    return pausedMs + nowMs - (pausedSinceMs ?? nowMs);
  }

  return {
    onRead: (bytes) => void (readBytes += bytes),
    getReceivedBytes,
    onRelayed: (bytes) => void (relayedBytes += bytes),
    onPaused: (nowMs) => void (pausedSinceMs ??= nowMs),
    onResumed(nowMs) {
      pausedMs = getPausedMs(nowMs);
      pausedSinceMs = undefined;
    },
    onConnectionEnd(connection, code) {
      end ??= createEnd(connection, code);
      // A reset can arrive behind an orderly end.
      if (connection === "failed" && end.connection === "closed") {
        end = { ...end, connection, code };
      }
    },
    onClosed() {
      end ??= createEnd(getConnection(res, socket));
    },
    toLog(nowMs) {
      const { connection, code, receivedBytes } = end ??
        createEnd(getConnection(res, socket));
      return {
        framing,
        announcedBytes: getAnnouncedBytes(res, framing),
        receivedBytes,
        readBytes,
        unreadBytes: receivedBytes - readBytes,
        relayedBytes,
        isEndReceived: res.complete,
        pausedMs: Math.round(getPausedMs(nowMs)),
        connection,
        code,
      };
    },
  };
}

function getAnnouncedBytes(
  res: TracedResponse,
  framing: BodyFraming,
): number | undefined {
  return framing === "length"
    ? Number(res.headers["content-length"])
    : undefined;
}

/** The state of a connection of which neither failure nor abort is known. */
function getConnection(
  res: TracedResponse,
  socket: TracedSocket,
): BodyConnection {
  const isClosed = socket.readableEnded || socket.writableEnded ||
    socket.destroyed;
  if (isClosed) return "closed";
  return res.readableEnded ? "kept" : "open";
}
