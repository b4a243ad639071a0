/**
 * An upstream that sends bytes without end, in a part of its response that the
 * test chooses, until the other side closes the connection. It sends as fast as
 * the other side reads.
 *
 * @module
 */

import type { Socket } from "node:net";
import type { Behaviour } from "./forward_fixture.ts";
import { waitUntil } from "./held_upstream.ts";

/** The part of a response that has no end. */
export type EndlessPart =
  /** One event of a stream. */
  | "event"
  | "chunked-body"
  | "body-until-close"
  /** The body of a response that says that the request has not run. */
  | "not-run-body"
  /** Heads of interim responses (1xx). */
  | "interim-heads"
  /** Empty lines before the head. */
  | "empty-lines"
  | "status-line"
  | "head"
  | "chunk-size"
  | "chunk-extension"
  | "trailer"
  /** Bytes behind a whole body. */
  | "bytes-behind";

/** The bytes of an endless response. */
export interface EndlessResponse {
  /** What is sent once. */
  readonly start: string;
  /** What is sent again and again behind it. */
  readonly piece: string;
}

/** An upstream all of whose responses are endless. */
export interface EndlessUpstream {
  readonly behaviour: Behaviour;
  /** Waits until the other side has closed all connections. */
  waitUntilClosed(): Promise<void>;
}

/** Number of bytes that are written at once. */
const BLOCK_BYTES = 64 * 1024;

const CHUNKED = "transfer-encoding: chunked\r\n\r\n";

/**
 * Creates the bytes of a response that has no end in the given part.
 * `headers` are the lines that bind the response to its request.
 */
export function createEndlessResponse(
  part: EndlessPart,
  headers: string,
): EndlessResponse {
  const head = `HTTP/1.1 200 OK\r\n${headers}`;
  const text = "x".repeat(1_000);
  const chunk = `3e8\r\n${text}\r\n`;
  switch (part) {
    case "event":
      return { start: `${head}${CHUNKED}7\r\ndata: y\r\n`, piece: chunk };
    case "chunked-body":
      return { start: head + CHUNKED, piece: chunk };
    case "body-until-close":
      return { start: `${head}\r\n`, piece: text };
    case "not-run-body":
      return {
        start: `HTTP/1.1 421 Misdirected Request\r\n${headers}${CHUNKED}`,
        piece: chunk,
      };
    case "interim-heads":
      return { start: "", piece: "HTTP/1.1 102 Processing\r\n\r\n" };
    case "empty-lines":
      return { start: "", piece: "\r\n" };
    case "status-line":
      return { start: "HTTP/1.1 200 ", piece: text };
    case "head":
      return { start: head, piece: `x-more: ${text}\r\n` };
    case "chunk-size":
      return { start: head + CHUNKED, piece: "0".repeat(1_000) };
    case "chunk-extension":
      return { start: `${head}${CHUNKED}1;`, piece: text };
    case "trailer":
      return {
        start: `${head}${CHUNKED}${chunk}0\r\n`,
        piece: `x-more: ${text}\r\n`,
      };
    case "bytes-behind":
      return {
        start: `${head}${CHUNKED}${chunk}0\r\n\r\n`,
        piece: text,
      };
  }
}

/** Sends the response until the connection is closed. */
export function sendEndless(
  socket: Socket,
  { start, piece }: EndlessResponse,
): void {
  const block = piece.repeat(Math.ceil(BLOCK_BYTES / piece.length));
  function send(): void {
    if (socket.destroyed) return;
    if (socket.write(block)) setImmediate(send);
    else socket.once("drain", send);
  }
  socket.write(start);
  send();
}

/** Creates an upstream of the forwarding fixture. */
export function createEndlessUpstream(part: EndlessPart): EndlessUpstream {
  const sockets: Socket[] = [];
  return {
    behaviour(socket, { id }) {
      sockets.push(socket);
      const headers = `x-id: ${id}\r\nx-seal: s\r\n`;
      sendEndless(socket, createEndlessResponse(part, headers));
    },
    waitUntilClosed: () =>
      waitUntil(
        () => sockets.every((each) => each.destroyed),
        "close of all connections",
      ),
  };
}
