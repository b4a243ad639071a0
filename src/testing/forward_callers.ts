/**
 * Callers of an entry host's forwarding on loopback.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { type IncomingHttpHeaders, request } from "node:http";
import { connect, type Socket } from "node:net";

/** A response as the caller received it. */
export interface CallerResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
  /** Whether the connection closed before the end of the response. */
  readonly isTruncated: boolean;
  /** Longest time without a byte, in ms, from when the request was sent. */
  readonly longestWaitMs: number;
}

/** Options of a caller's request. */
export interface CallOptions {
  readonly method?: string;
  readonly id?: string;
  readonly body?: string;
  readonly key?: string;
  /** Id of the request whose stream this one takes up. */
  readonly resumes?: string;
  /** Time after which the caller closes the connection, in ms. */
  readonly disconnectAfterMs?: number;
}

/** Sends a request and half-closes the connection immediately. */
export function sendAndClose(port: number): Promise<void> {
  return new Promise((resolve) => {
    const socket = sendRaw(port, "gone");
    socket.on("close", () => resolve());
    socket.end();
    socket.resume();
  });
}

/** Sends a request and returns its connection. */
export function sendRaw(port: number, id: string): Socket {
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => {});
  socket.write(
    "POST /drafts/1 HTTP/1.1\r\nhost: model.example\r\n" +
      `x-id: ${id}\r\nx-key: key-of-fitters\r\ncontent-length: 2\r\n\r\n{}`,
  );
  return socket;
}

/** Sends only the head of a request; resolves to the first response bytes. */
export function sendHead(port: number): Promise<string> {
  return new Promise((resolve, reject) => {
    const socket = connect(port, "127.0.0.1");
    socket.on("error", reject);
    socket.once("data", (bytes) => {
      socket.destroy();
      resolve(bytes.toString("latin1"));
    });
    socket.write(
      "POST /drafts/1 HTTP/1.1\r\nhost: model.example\r\n" +
        "x-id: head\r\nx-key: key-of-fitters\r\ncontent-length: 2\r\n\r\n",
    );
  });
}

/** Sends a request and waits for its response to end. */
export function send(
  port: number,
  options: CallOptions,
): Promise<CallerResponse> {
  const { id = "request-1", body = "{}", key = "key-of-fitters" } = options;
  return new Promise((resolve, reject) => {
    let lastByteMs = performance.now();
    let longestWaitMs = 0;
    function recordWait(): void {
      const nowMs = performance.now();
      longestWaitMs = Math.max(longestWaitMs, nowMs - lastByteMs);
      lastByteMs = nowMs;
    }
    const req = request({
      host: "127.0.0.1",
      port,
      method: options.method ?? "POST",
      path: "/drafts/1",
      headers: {
        host: "model.example",
        "x-id": id,
        "x-key": key,
        ...(options.resumes === undefined
          ? {}
          : { "x-resumes": options.resumes }),
      },
    });
    req.on("response", (res) => {
      const chunks: Buffer[] = [];
      recordWait();
      res.on("data", (chunk: Buffer) => {
        recordWait();
        chunks.push(chunk);
      });
      res.on("error", () => {});
      res.on("close", () => {
        recordWait();
        resolve({
          status: res.statusCode ?? 0,
          headers: res.headers,
          body: Buffer.concat(chunks).toString(),
          isTruncated: !res.complete,
          longestWaitMs,
        });
      });
    });
    req.on("error", reject);
    if (options.disconnectAfterMs !== undefined) {
      setTimeout(() => req.destroy(), options.disconnectAfterMs);
    }
    req.end(body);
  });
}
