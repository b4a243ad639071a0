/**
 * Sends one request to one upstream over HTTP. Interrupting the call closes the
 * connection, which tells the upstream to stop working on it.
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
import type { Socket } from "node:net";
import * as Effect from "effect/Effect";
import { isAddress, onProtocolSwitched, startTimeout } from "../core/mod.ts";
import type { ConnectResult } from "../crashes/mod.ts";
import { getBodyFraming } from "../upstreams/mod.ts";
import type { AttemptTrace } from "./attempt_trace.ts";
import type { BodyEnd } from "./body_end.ts";
import { type BodyTrace, createBodyTrace } from "./body_trace.ts";
import { watchConnectionEnd } from "./connection_end.ts";
import { tryGetUnwritablePart } from "./unwritable_heads.ts";
import { watchReadingPauses } from "./reading_pauses.ts";
import { watchOverhead } from "./overhead_watch.ts";
import { CONNECT_TIMEOUT_MS, connectWithin } from "./try_connect.ts";
import { AttemptFailed } from "./types.ts";

/** A request to an upstream. */
export interface UpstreamCall {
  readonly agent: Agent;
  /** IP address and port. */
  readonly address: string;
  readonly method: string;
  /** Path and query as sent by the caller. */
  readonly target: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer;
  /** Returns the time until the deadline of the request, in ms. */
  getRemainingMs(): number;
  /**
   * Upper bound, in ms, of the time for which an end of a connection that is
   * read now has waited for this process.
   */
  getStalledMs(): number;
  /** Told of each sign of the upstream and of an abort, for the log. */
  readonly trace?: AttemptTrace | undefined;
  /**
   * Returns whether the connection is proven to end at the upstream that is
   * meant; `undefined` if that needn't be known. Called once the connection is
   * there; nothing is written before its answer.
   */
  readonly prove?:
    | ((connection: Socket) => boolean | Promise<boolean>)
    | undefined;
  /**
   * Called right before the first byte is written, since conditions may have
   * changed while the connection was being made.
   */
  mayStillSend(): boolean;
  /** Called once the first byte may have left this host. */
  onSent(): void;
}

/** A response whose head has been received but whose body has not been read. */
export interface UpstreamResponse {
  readonly res: IncomingMessage;
  /** What becomes of the body, for the log. */
  readonly trace: BodyTrace;
  /** Whether the connection has carried no other request before. */
  readonly isFirstOnConnection: boolean;
  /** Closes the connection, and drops what was received but not read. */
  abort(): void;
  /** A part of the body was read, or reading goes on after a pause. */
  onRead(): void;
  /** What is known of the end of the body, once it was read to its end. */
  readonly bodyEnd: Effect.Effect<BodyEnd>;
  /**
   * Returns why this side closed the connection: what arrived on it is no
   * response. `undefined` if it did not.
   */
  tryGetBreach(): AttemptFailed | undefined;
}

/** Sends the request; succeeds with the head of the response. */
export function openCall(
  call: UpstreamCall,
): Effect.Effect<UpstreamResponse, AttemptFailed> {
  if (!isAddress(call.address)) {
    const reason = `"${call.address}" is not an IP address and a port`;
    return Effect.fail(new AttemptFailed({ kind: "not-sent", reason }));
  }
  return Effect.callback<UpstreamResponse, AttemptFailed>((resume) => {
    const [host, port] = call.address.split(":");
    let isConnected = false;
    let isSent = false;
    let received: UpstreamResponse | undefined;
    let breach: AttemptFailed | undefined;
    const req = sendRequest({
      agent: call.agent,
      host,
      port: Number(port),
      method: call.method,
      path: call.target,
      headers: getHeadersWithLength(call),
      setHost: false,
    });

    function abortRequest(): void {
      call.trace?.onAborted();
      req.destroy();
    }

    function fail(
      kind: AttemptFailed["kind"],
      reason: string,
      details: Pick<AttemptFailed, "silence" | "syscall"> = {},
    ): void {
      const failure = new AttemptFailed({ kind, reason, ...details });
      if (kind === "broken") breach ??= failure;
      timeout[Symbol.dispose]();
      abortRequest();
      if (received === undefined) resume(Effect.fail(failure));
    }

    function failConnect(): void {
      const limitMs = CONNECT_TIMEOUT_MS;
      const reason = `No connection within ${limitMs} ms`;
      fail("not-sent", reason, { silence: { phase: "connect", limitMs } });
    }

    const timeout = startTimeout(CONNECT_TIMEOUT_MS, failConnect);

    function send(isProven: boolean): void {
      // The error event of a socket follows its destruction.
      if (req.destroyed || req.socket?.destroyed) return;
      if (!isProven) {
        return fail("unwanted", "Another incarnation may serve there");
      }
      if (!call.mayStillSend()) {
        return fail("unwanted", "The request may no longer be sent there");
      }
      isSent = true;
      call.onSent();
      call.trace?.onWaiting();
      req.end(call.body);
    }

    onConnected(req, (socket) => {
      isConnected = true;
      timeout[Symbol.dispose]();
      const proof = call.prove?.(socket) ?? true;
      if (typeof proof === "boolean") send(proof);
      else void proof.then(send);
    });
    req.on("information", () => call.trace?.onWaiting());
    req.once("socket", (socket) => {
      const overhead = watchOverhead(socket, {
        getBodyBytes: () => received?.trace.getReceivedBytes() ?? 0,
        onExceeded: (reason) => fail("broken", reason),
      });
      req.once("close", () => overhead[Symbol.dispose]());
    });
    onProtocolSwitched(
      req,
      (reason) => fail(isSent ? "broken" : "unwanted", reason),
    );
    req.on("response", (res) => {
      if (!isSent) {
        return fail("unwanted", "A response came before the request was sent");
      }
      call.trace?.onWaiting();
      const unwritable = tryGetUnwritablePart(res);
      if (unwritable !== undefined) return fail("broken", unwritable);
      // Without a listener, an error event of the body would end the process.
      res.on("error", () => {});
      const trace = createBodyTrace(res, call.method);
      res.on("close", trace.onClosed);
      const bodyEnd = watchBodyEnd(call, res);
      function abort(): void {
        trace.onConnectionEnd("aborted");
        abortRequest();
      }
      const onRead = () => call.trace?.onWaiting();
      const tryGetBreach = () => breach;
      received = {
        res,
        trace,
        isFirstOnConnection: !req.reusedSocket,
        abort,
        onRead,
        bodyEnd,
        tryGetBreach,
      };
      resume(Effect.succeed(received));
    });
    req.on("error", (err: NodeJS.ErrnoException) => {
      const { code, syscall, message } = err;
      const reason = code ?? message;
      received?.trace.onConnectionEnd("failed", reason);
      // Destroying the request would drop what has not been read of a response
      // that was received completely.
      if (received?.res.complete) return;
      // A connection that ends before anything is sent on it shows no failure.
      const wasThere = isConnected || req.reusedSocket;
      const unsent = wasThere ? "unwanted" : getConnectFailure(reason);
      const kind = isSent ? getSentFailure(reason) : unsent;
      fail(kind, reason, { syscall });
    });
    return Effect.sync(() => {
      timeout[Symbol.dispose]();
      if (received === undefined) req.destroy();
    });
  });
}

/** Codes of a connect for which this host lacks a descriptor, memory or port. */
const OWN_SHORTAGES: ReadonlySet<string> = new Set([
  "EADDRNOTAVAIL",
  "EAGAIN",
  "EMFILE",
  "ENFILE",
  "ENOBUFS",
  "ENOMEM",
]);

/** What this host lacks says nothing of the upstream. */
function getConnectFailure(code: string): "unsendable" | "not-sent" {
  return OWN_SHORTAGES.has(code) ? "unsendable" : "not-sent";
}

/** Node's parser prefixes the codes of its errors. */
function getSentFailure(code: string): "broken" | "cut-off" {
  return code.startsWith("HPE_") ? "broken" : "cut-off";
}

/** Watches for the end of the body. To be called with the head. */
function watchBodyEnd(
  { method, address, body, getRemainingMs, getStalledMs }: UpstreamCall,
  res: IncomingMessage,
): Effect.Effect<BodyEnd> {
  if (getBodyFraming(res, method) !== "until-close") {
    return Effect.sync(() => ({ kind: "framed", isReceived: res.complete }));
  }
  const { socket } = res;
  const connection = watchConnectionEnd(socket, body.length);
  const pauses = watchReadingPauses(res);
  let unreadMs = 0;
  const contact = new Promise<ConnectResult>((resolve) => {
    socket.once("end", () => {
      unreadMs = Math.max(getStalledMs(), pauses.getPausedMs());
      resolve(connectWithin(address, getRemainingMs));
    });
    socket.once("close", () => resolve("failed"));
  });
  return Effect.promise(async () => ({
    kind: "until-close",
    connection: await connection,
    contact: await contact,
    unreadMs,
  }));
}

/** Adds a `Content-Length` header with the length of the body actually sent. */
function getHeadersWithLength(call: UpstreamCall): string[] {
  const hasBody = call.body.length > 0 ||
    !["GET", "HEAD", "DELETE", "OPTIONS"].includes(call.method);
  if (!hasBody) return call.headers;
  return [...call.headers, "Content-Length", String(call.body.length)];
}

/**
 * Calls `run` once the connection is there. A socket that no longer connects may
 * also have failed at once; its error event follows.
 */
function onConnected(
  req: ClientRequest,
  run: (socket: Socket) => void,
): void {
  req.on("socket", (socket) => {
    if (socket.connecting) socket.once("connect", () => run(socket));
    else if (!socket.destroyed) run(socket);
  });
}
