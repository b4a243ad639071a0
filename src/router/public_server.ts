/**
 * HTTP server for callers and operators, with the routes of all paths.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import process from "node:process";
import * as Effect from "effect/Effect";
import type { RouterSettings } from "../config/mod.ts";
import { startListening } from "../core/mod.ts";
import { createNotRunReply, sendReply } from "../requests/reply.ts";
import type { Deployment } from "../types.ts";
import { tryGetOperator } from "./operator_key.ts";

/** Handler of an operators' endpoint; returns the value to send as JSON. */
export type OperatorHandler = (
  input: {
    readonly operator: string;
    readonly url: URL;
    readonly body: string;
  },
) => Promise<{ readonly status: number; readonly value: unknown }>;

/** Dependencies of the server, supplied by the process. */
export interface PublicServerHost {
  readonly settings: RouterSettings;
  getDeployment(): Deployment | undefined;
  serveRequest(req: IncomingMessage, res: ServerResponse): Effect.Effect<void>;
  serveWhere(req: IncomingMessage, res: ServerResponse): Effect.Effect<void>;
  /** Why the host is not ready; `undefined` when it is. */
  tryGetNotReadyReason(): string | undefined;
  /** Why the host is not healthy; `undefined` when it is. */
  tryGetUnhealthyReason(): string | undefined;
  getMetrics(): Promise<string>;
  /** Handlers keyed by method and path, such as "GET /ops/status". */
  readonly operatorHandlers: Readonly<Record<string, OperatorHandler>>;
}

const CLOSE_TIMEOUT_MS = 1_000;
const MAX_OPERATOR_BODY_BYTES = 4 * 1024 * 1024;

/** Listens on the public address; rejects if it is already in use. */
export async function listenForCallers(
  host: PublicServerHost,
): Promise<Server & AsyncDisposable> {
  const server = createServer((req, res) => {
    Effect.runFork(route(host, req, res));
  });
  // Callers keep connections alive; the default idle time-out would close them.
  server.keepAliveTimeout = 65_000;
  await startListening(server, {
    address: host.settings.publicAddress,
    onError: (reason) => process.emitWarning(reason),
  });
  return Object.assign(server, {
    async [Symbol.asyncDispose]() {
      // Responses that have just ended get time to leave this host's buffers.
      const closed = new Promise((resolve) => server.close(resolve));
      const closeTimer = setTimeout(
        () => server.closeAllConnections(),
        CLOSE_TIMEOUT_MS,
      );
      await closed;
      clearTimeout(closeTimer);
    },
  });
}

function route(
  host: PublicServerHost,
  req: IncomingMessage,
  res: ServerResponse,
): Effect.Effect<void> {
  const path = (req.url ?? "/").split("?")[0]!;
  if (path === "/where") return host.serveWhere(req, res);
  if (path.startsWith("/v1/")) return host.serveRequest(req, res);
  return Effect.promise(async () => {
    try {
      await serveManagement(host, path, req, res);
    } catch (err) {
      sendJson(res, 500, { message: String(err) });
    }
  });
}

async function serveManagement(
  host: PublicServerHost,
  path: string,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  if (path === "/healthz") {
    const reason = host.tryGetUnhealthyReason();
    const status = reason === undefined ? 200 : 503;
    sendJson(res, status, { healthy: reason === undefined, reason });
  } else if (path === "/readyz") {
    const reason = host.tryGetNotReadyReason();
    const status = reason === undefined ? 200 : 503;
    sendJson(res, status, { ready: reason === undefined, reason });
  } else if (path === "/metrics") {
    res.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
    res.end(await host.getMetrics());
  } else if (path.startsWith("/ops/")) {
    await serveOperator(host, path, req, res);
  } else {
    sendReply(res, createNotRunReply(404, "unknownPath", { args: [path] }), "");
  }
}

async function serveOperator(
  host: PublicServerHost,
  path: string,
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const operator = tryGetOperator(req.headers.authorization, {
    operators: host.settings.operators,
    teams: host.getDeployment()?.teams ?? [],
  });
  if (operator === undefined) {
    sendReply(res, createNotRunReply(403, "operatorKeyNeeded"), "");
    return;
  }
  const handler = host.operatorHandlers[`${req.method} ${path}`];
  if (handler === undefined) {
    sendReply(res, createNotRunReply(404, "unknownPath", { args: [path] }), "");
    return;
  }
  const url = new URL(req.url ?? "/", "http://router");
  const body = await readOperatorBody(req);
  const { status, value } = await handler({ operator, url, body });
  sendJson(res, status, value);
}

async function readOperatorBody(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req as AsyncIterable<Buffer>) {
    size += chunk.length;
    if (size > MAX_OPERATOR_BODY_BYTES) {
      throw new RangeError("The request body exceeds 4 MiB");
    }
    chunks.push(chunk);
  }
  // Decoded as a whole: a character may be split between two chunks.
  return Buffer.concat(chunks).toString("utf8");
}

/** Sends a value as a complete JSON response. */
export function sendJson(
  res: ServerResponse,
  status: number,
  value: unknown,
): void {
  res.writeHead(status, { "content-type": "application/json" });
  res.end(JSON.stringify(value));
}
