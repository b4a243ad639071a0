/**
 * Callers on raw connections: one that reads nothing until it is told to, and
 * one that sends several requests without waiting for their responses.
 *
 * @module
 */

import { connect, type Socket } from "node:net";
import { startTimeout } from "../core/mod.ts";

/** A response as it was read from the connection. */
export interface RawResponse {
  readonly status: number;
  readonly body: string;
  /** Whether the response ended as its framing says. */
  readonly isComplete: boolean;
}

/** A caller that reads nothing until `read` is called. */
export interface SlowCaller extends Disposable {
  /**
   * Reads the response to its end, or to the end of the connection. Rejects if
   * neither comes in time.
   */
  read(): Promise<RawResponse>;
}

/** What a pipelining caller has read from its connection. */
export interface PipelinedResponses {
  /** In order of the requests; ends with the first incomplete response. */
  readonly responses: readonly RawResponse[];
  /** Whether the connection was closed before the last response had ended. */
  readonly isClosed: boolean;
}

/** A caller whose requests are all sent at once, on one connection. */
export interface PipeliningCaller extends Disposable {
  /** Sends one request for each id. */
  send(ids: readonly string[]): void;
  /**
   * Reads this number of responses, or to the end of the connection. Rejects if
   * neither comes in time.
   */
  read(count: number): Promise<PipelinedResponses>;
}

/** Longest time, in ms, that a caller waits for what it reads. */
const READ_TIMEOUT_MS = 2_000;

/** Sends a request, and leaves its response unread. */
export function openSlowCaller(port: number, id = "slow"): SlowCaller {
  const socket = openConnection(port);
  socket.write(createRequest(id));
  return {
    async read() {
      const { responses } = await readResponses(socket, 1);
      return responses[0] ?? { status: 0, body: "", isComplete: false };
    },
    [Symbol.dispose]: () => void socket.destroy(),
  };
}

/** Opens the connection of a pipelining caller. */
export function openPipeliningCaller(port: number): PipeliningCaller {
  const socket = openConnection(port);
  return {
    send: (ids) => void socket.write(ids.map(createRequest).join("")),
    read: (count) => readResponses(socket, count),
    [Symbol.dispose]: () => void socket.destroy(),
  };
}

function openConnection(port: number): Socket {
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => {});
  return socket;
}

function createRequest(id: string): string {
  return "POST /drafts/1 HTTP/1.1\r\nhost: model.example\r\n" +
    `x-id: ${id}\r\nx-key: key-of-fitters\r\ncontent-length: 2\r\n\r\n{}`;
}

function readResponses(
  socket: Socket,
  count: number,
): Promise<PipelinedResponses> {
  return new Promise((resolve, reject) => {
    const reason = `No responses within ${READ_TIMEOUT_MS} ms`;
    const timeout = startTimeout(
      READ_TIMEOUT_MS,
      () => reject(new Error(reason)),
    );
    let text = "";
    function settle(isClosed: boolean): void {
      const responses = parseResponses(text);
      const hasAll = responses.length >= count &&
        responses.every((each) => each.isComplete);
      if (!hasAll && !isClosed) return;
      timeout[Symbol.dispose]();
      socket.off("data", onData);
      resolve({ responses, isClosed });
    }
    function onData(bytes: Uint8Array): void {
      text += bytes.toString();
      settle(false);
    }
    socket.on("data", onData);
    socket.once("close", () => settle(true));
    if (socket.destroyed) settle(true);
  });
}

function parseResponses(text: string): readonly RawResponse[] {
  const responses: RawResponse[] = [];
  let rest = text;
  while (rest !== "") {
    const parsed = parseResponse(rest);
    responses.push(parsed.response);
    if (!parsed.response.isComplete) break;
    rest = parsed.rest;
  }
  return responses;
}

/** One response, and the text behind it. */
interface ParsedResponse {
  readonly response: RawResponse;
  readonly rest: string;
}

function parseResponse(text: string): ParsedResponse {
  const headEnd = text.indexOf("\r\n\r\n");
  if (headEnd < 0) {
    return { response: { status: 0, body: "", isComplete: false }, rest: "" };
  }
  const head = text.slice(0, headEnd);
  const status = Number(head.split(" ")[1]);
  const content = text.slice(headEnd + 4);
  const length = /^content-length: (\d+)/im.exec(head)?.[1];
  const { body, end } = length === undefined
    ? decodeChunks(content)
    : takeBytes(content, Number(length));
  return {
    response: { status, body, isComplete: end !== undefined },
    rest: content.slice(end),
  };
}

/** A body, and where it ended; `undefined` if its end was not received. */
interface ParsedBody {
  readonly body: string;
  readonly end: number | undefined;
}

function takeBytes(content: string, length: number): ParsedBody {
  const end = content.length < length ? undefined : length;
  return { body: content.slice(0, length), end };
}

function decodeChunks(content: string): ParsedBody {
  let body = "";
  let at = 0;
  while (true) {
    const lineEnd = content.indexOf("\r\n", at);
    if (lineEnd < 0) return { body, end: undefined };
    const size = parseInt(content.slice(at, lineEnd), 16);
    const dataAt = lineEnd + 2;
    const chunkEnd = dataAt + size + 2;
    body += content.slice(dataAt, dataAt + size);
    if (content.length < chunkEnd) return { body, end: undefined };
    if (size === 0) return { body, end: chunkEnd };
    at = chunkEnd;
  }
}
