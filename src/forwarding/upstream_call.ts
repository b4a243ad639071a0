/**
 * One attempt of a request at one upstream. Interrupting it closes the
 * connection, which is how an upstream is told to stop working.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import {
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  request as sendRequest,
} from "node:http";
import * as Effect from "effect/Effect";
import { startTimeout } from "../core/mod.ts";
import { AttemptFailed } from "./types.ts";

/** A request on its way to an upstream. */
export interface UpstreamCall {
  readonly agent: Agent;
  /** IP address and port. */
  readonly address: string;
  readonly method: string;
  /** Path and query, as the caller sent them. */
  readonly target: string;
  /** Name and value by turns. */
  readonly headers: string[];
  readonly body: Buffer;
  /** Time until the head of the answer, in ms. */
  readonly headLimitMs: number;
  /** Asked right before the first byte: a connection may take a while. */
  mayStillSend(): boolean;
  /** Called when the first byte may have left this host. */
  onSent(): void;
}

/** The head of an answer; its body is still to be read. */
export interface OpenAnswer {
  readonly res: IncomingMessage;
  /** Closes the connection, whatever has been read. */
  abort(): void;
  /** Whether the whole body has come; asked once the body has ended. */
  readonly isWhole: Effect.Effect<boolean>;
}

/**
 * Longest time to connect, in ms: a dozen round trips between regions. A host
 * without power does not answer at all.
 */
export const CONNECT_LIMIT_MS = 500;

/** Sends the request; succeeds with the head of the answer. */
export function openCall(
  call: UpstreamCall,
): Effect.Effect<OpenAnswer, AttemptFailed> {
  return Effect.callback<OpenAnswer, AttemptFailed>((resume) => {
    const [host, port] = call.address.split(":");
    let isSent = false;
    let isOpen = false;
    const req = sendRequest({
      agent: call.agent,
      host,
      port: Number(port),
      method: call.method,
      path: call.target,
      headers: getFramed(call),
      setHost: false,
    });

    function fail(kind: AttemptFailed["kind"], reason: string): void {
      limit[Symbol.dispose]();
      req.destroy();
      if (!isOpen) resume(Effect.fail(new AttemptFailed({ kind, reason })));
    }

    let limit = startTimeout(
      CONNECT_LIMIT_MS,
      () => fail("not-sent", `No connection in ${CONNECT_LIMIT_MS} ms`),
    );
    onConnected(req, () => {
      if (!call.mayStillSend()) {
        return fail("unwanted", "It takes no requests any more");
      }
      isSent = true;
      call.onSent();
      limit[Symbol.dispose]();
      limit = startTimeout(
        call.headLimitMs,
        () => fail("silent", `No answer in ${call.headLimitMs} ms`),
      );
    });
    req.on("response", (res) => {
      limit[Symbol.dispose]();
      isOpen = true;
      // Without a listener an error of the body would end the process.
      res.on("error", () => {});
      const isWhole = hasLength(res)
        ? Effect.sync(() => res.complete)
        : watchEnd(res);
      resume(Effect.succeed({ res, abort: () => req.destroy(), isWhole }));
    });
    req.on("error", (err) => {
      const reason = `${(err as NodeJS.ErrnoException).code ?? err.message}`;
      fail(isSent ? "broken" : "not-sent", reason);
    });
    req.end(call.body);
    return Effect.sync(() => {
      limit[Symbol.dispose]();
      if (!isOpen) req.destroy();
    });
  });
}

/** Reads the whole body; fails when it ends early or is larger than allowed. */
export function readAnswerBody(
  answer: OpenAnswer,
  limits: { readonly maxBytes: number; readonly limitMs: number },
): Effect.Effect<readonly Buffer[], AttemptFailed> {
  const { res, abort } = answer;
  return Effect.callback<readonly Buffer[], AttemptFailed>((resume) => {
    const chunks: Buffer[] = [];
    let size = 0;
    const fail = (kind: "broken" | "silent", reason: string) => {
      limit[Symbol.dispose]();
      abort();
      resume(Effect.fail(new AttemptFailed({ kind, reason })));
    };
    const limit = startTimeout(
      limits.limitMs,
      () => fail("silent", `The body took over ${limits.limitMs} ms`),
    );
    res.on("data", (chunk: Buffer) => {
      size += chunk.length;
      if (size > limits.maxBytes) fail("broken", "The body is too large");
      else chunks.push(chunk);
    });
    res.on("close", () => {
      limit[Symbol.dispose]();
      resume(
        answer.isWhole.pipe(
          Effect.flatMap((isWhole) =>
            isWhole ? Effect.succeed(chunks) : Effect.fail(createEndedEarly())
          ),
        ),
      );
    });
    return Effect.sync(() => {
      limit[Symbol.dispose]();
      if (!res.complete) abort();
    });
  });
}

/** The failure of a body that ended before its end. */
export function createEndedEarly(): AttemptFailed {
  const reason = "The body ended early";
  return new AttemptFailed({ kind: "broken", reason });
}

function hasLength(res: IncomingMessage): boolean {
  return res.headers["content-length"] !== undefined ||
    res.headers["transfer-encoding"] !== undefined;
}

/**
 * Tells whether a body without length ended with its connection, or broke off
 * by a reset. Node reports a reset that arrives together with the last data as
 * an ordinary end, and the caller would take the part for the whole. A write
 * tells them apart: on a connection that was reset it fails at once. An
 * upstream that has ended its side ignores the empty line.
 */
function watchEnd(res: IncomingMessage): Effect.Effect<boolean> {
  const { socket } = res;
  let wasReset = false;
  const ended = new Promise<void>((resolve) => {
    socket.on("error", () => {
      wasReset = true;
      resolve();
    });
    socket.prependOnceListener("end", () => {
      socket.write("\r\n", (err) => {
        if (err) wasReset = true;
        resolve();
      });
    });
    socket.once("close", () => resolve());
  });
  return Effect.promise(() => ended).pipe(
    Effect.map(() => res.complete && !wasReset),
  );
}

/** The body's length stands in one header, by what is really sent. */
function getFramed(call: UpstreamCall): string[] {
  const hasBody = call.body.length > 0 ||
    !["GET", "HEAD", "DELETE", "OPTIONS"].includes(call.method);
  if (!hasBody) return call.headers;
  return [...call.headers, "Content-Length", String(call.body.length)];
}

function onConnected(req: ClientRequest, run: () => void): void {
  req.on("socket", (socket) => {
    if (!socket.connecting) run();
    else socket.once("connect", run);
  });
}
