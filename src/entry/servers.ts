/**
 * The HTTP servers of an entry host: callers, readiness, which hosts to use,
 * metrics.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from "node:http";
import type { CallerLimits } from "../routing/mod.ts";
import type { EntryProtocol, ResolveQuery } from "./types.ts";

/** A server that listens. */
export interface ListeningServer extends AsyncDisposable {
  readonly server: Server;
}

/**
 * Before a configuration is known: what a caller may take for its headers, and
 * how long a connection may stay idle, in ms.
 */
const INITIAL_HEADER_TIMEOUT_MS = 5_000;
const INITIAL_IDLE_TIMEOUT_MS = 60_000;

/**
 * A connection is kept this much longer than operators allow, in ms, so that a
 * caller that keeps to the limit never finds it closed.
 */
const IDLE_MARGIN_MS = 2_000;

/** More than operators allow for headers in any configuration, in bytes. */
const MAX_HEADER_BYTES = 64 * 1024;

/** Connections that wait to be accepted where hardly anything comes. */
const DEFAULT_BACKLOG = 128;

/** Requests on connections of their own that a whole core takes in a second. */
const ACCEPTED_PER_CORE_SECOND = 100;

/** A connection waits no longer to be accepted, in s: half of callers' patience. */
const MAX_ACCEPT_WAIT_S = 0.5;

/** A few callers must find place at the smallest host, too. */
const MIN_BACKLOG = 8;

/**
 * How many callers' connections may wait to be accepted: what the host takes in
 * half a second, since callers give up what nobody reads for a second.
 *
 * Load: a flood of new connections at a host with an eighth of a core. Harm
 * prevented: with a thousand waiting each was accepted 20 s late, all requests on
 * them had been given up, and nobody else got through for as long as the flood
 * went on (2 of 100 requests of a calm team served).
 */
export function getBacklog(processorShare: number): number {
  const perSecond = processorShare * ACCEPTED_PER_CORE_SECOND;
  return Math.max(MIN_BACKLOG, Math.ceil(perSecond * MAX_ACCEPT_WAIT_S));
}

/** Listens on the address, an IP and a port; rejects when it is taken. */
export async function listen(
  address: string,
  onRequest: RequestListener,
  backlog: number = DEFAULT_BACKLOG,
): Promise<ListeningServer> {
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    keepAliveTimeout: INITIAL_IDLE_TIMEOUT_MS,
    headersTimeout: INITIAL_HEADER_TIMEOUT_MS,
    // A body may come slowly; reading it has its own limit.
    requestTimeout: 0,
  }, onRequest);
  const [host, port] = address.split(":");
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(
      { host, port: Number(port), backlog },
      () => resolve(),
    );
  });
  return {
    server,
    async [Symbol.asyncDispose]() {
      server.closeIdleConnections();
      const closed = new Promise((resolve) => server.close(resolve));
      server.closeAllConnections();
      await closed;
    },
  };
}

/** Puts the operators' limits on callers in force. */
export function setCallerLimits(server: Server, limits: CallerLimits): void {
  server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
  server.headersTimeout = limits.headerTimeoutMs;
}

/** Answers whether the host is ready. */
export function createReadinessListener(
  protocol: EntryProtocol,
  isReady: () => boolean,
): RequestListener {
  return (req, res) => {
    if (!protocol.isReadinessProbe(req)) return sendEmpty(res, 404);
    sendEmpty(res, isReady() ? 200 : 503);
  };
}

/** Answers which hosts a caller should use. */
export function createResolveListener(
  protocol: EntryProtocol,
  host: {
    readonly ttlMs: number;
    getAddresses(query: ResolveQuery): readonly string[];
  },
): RequestListener {
  return (req, res) => {
    const query = protocol.tryParseResolveQuery(req);
    if (query === undefined) return sendEmpty(res, 404);
    const addresses = host.getAddresses(query);
    if (addresses.length === 0) return sendEmpty(res, 503);
    const body = protocol.encodeResolveAnswer(addresses, host.ttlMs);
    sendText(res, "application/json", body);
  };
}

/** Answers with the metrics on the path given. */
export function createMetricsListener(
  path: string,
  render: () => Promise<string>,
): RequestListener {
  return (req: IncomingMessage, res) => {
    if (req.url !== path) return sendEmpty(res, 404);
    render().then(
      (text) => sendText(res, "text/plain; version=0.0.4", text),
      () => sendEmpty(res, 500),
    );
  };
}

function sendEmpty(res: ServerResponse, status: number): void {
  res.writeHead(status, { "content-length": 0 });
  res.end();
}

function sendText(res: ServerResponse, type: string, text: string): void {
  res.writeHead(200, {
    "content-type": type,
    "content-length": Buffer.byteLength(text),
  });
  res.end(text);
}
