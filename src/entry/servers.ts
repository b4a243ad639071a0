/**
 * The HTTP servers of an entry host: callers' requests, readiness, host queries
 * and metrics.
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
import process from "node:process";
import { MAX_TIMER_MS, startListening } from "../core/mod.ts";
import type { CallerLimits } from "../routing/mod.ts";
import type { EntryProtocol, ResolveQuery } from "./types.ts";

/** A server that is listening. */
export interface ListeningServer extends AsyncDisposable {
  readonly server: Server;
}

/**
 * Time-outs in ms that apply until a configuration is known: for receiving a
 * caller's headers, and for an idle connection.
 */
const INITIAL_HEADER_TIMEOUT_MS = 5_000;
const INITIAL_IDLE_TIMEOUT_MS = 60_000;

/**
 * Idle connections are kept open this much longer than the configured limit, in
 * ms, so that a caller that respects the limit never finds its connection
 * closed.
 */
const IDLE_MARGIN_MS = 2_000;

/**
 * Maximum size of the headers in bytes; above the limit of any configuration.
 */
const MAX_HEADER_BYTES = 64 * 1024;

/** Default length of the accept queue, for servers with little traffic. */
const DEFAULT_BACKLOG = 128;

/**
 * Number of requests on new connections that a full core processes per second.
 */
const SERVED_PER_CORE_SECOND = 100;

/** Number of new connections that a full core hands off per second. */
const HANDED_OFF_PER_CORE_SECOND = 300;

/**
 * Maximum time for which a connection should wait to be accepted, in s: half of
 * the callers' time-out.
 */
const MAX_ACCEPT_WAIT_S = 0.5;

/**
 * Minimum length of the accept queue, so that the smallest host can take a few
 * callers as well.
 */
const MIN_BACKLOG = 8;

/**
 * The same for a host that hands off connections. Shorter queues overflow while
 * the host is throttled for tens of ms.
 */
const MIN_HANDOFF_BACKLOG = 64;

/**
 * The length of the accept queue for callers: the connections that the host
 * accepts in half a second, since callers abandon a connection if nothing is
 * read from it for a second.
 *
 * Load: a burst of new connections at a host with an eighth of a core. Failure
 * prevented: with a queue of 1,000, each connection was accepted 20 s late, the
 * callers had abandoned all requests on them, and hardly any other caller was
 * served while the burst lasted (2 of 100 requests of a team within its share).
 */
export function getBacklog(processorShare: number): number {
  const perSecond = processorShare * SERVED_PER_CORE_SECOND;
  return Math.max(MIN_BACKLOG, Math.ceil(perSecond * MAX_ACCEPT_WAIT_S));
}

/**
 * The same for a host that hands off what it can't serve, which costs it less
 * than serving.
 */
export function getHandoffBacklog(processorShare: number): number {
  const perSecond = processorShare * HANDED_OFF_PER_CORE_SECOND;
  const backlog = Math.ceil(perSecond * MAX_ACCEPT_WAIT_S);
  return Math.max(MIN_HANDOFF_BACKLOG, backlog);
}

/**
 * Creates an HTTP server that is not listening. Connections with late headers
 * are closed at this interval, in ms; Node's default is 30 s.
 */
export function createHttpServer(
  onRequest: RequestListener,
  headerCheckIntervalMs?: number,
): Server {
  return createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    keepAliveTimeout: INITIAL_IDLE_TIMEOUT_MS,
    headersTimeout: INITIAL_HEADER_TIMEOUT_MS,
    connectionsCheckingInterval: headerCheckIntervalMs,
    // Slow request bodies are limited where they are read.
    requestTimeout: 0,
  }, onRequest);
}

/**
 * Serves HTTP on the address, an IP and a port; rejects if it is already in use.
 * Later errors are passed to `onError`, or are warnings of the process.
 */
export async function listen(
  address: string,
  onRequest: RequestListener,
  onError: (reason: string) => void = (reason) => process.emitWarning(reason),
): Promise<ListeningServer> {
  const server = createHttpServer(onRequest);
  await startListening(server, { address, backlog: DEFAULT_BACKLOG, onError });
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

/**
 * Applies the configured time-outs for callers. One that is no time of a timer
 * would throw in Node's own listener, behind the first response that is sent.
 */
export function setCallerLimits(server: Server, limits: CallerLimits): void {
  server.keepAliveTimeout = toTimerMs(
    limits.idleTimeoutMs + IDLE_MARGIN_MS,
    INITIAL_IDLE_TIMEOUT_MS,
  );
  server.headersTimeout = toTimerMs(
    limits.headerTimeoutMs,
    INITIAL_HEADER_TIMEOUT_MS,
  );
}

/** The time as far as a timer admits; the other one in place of a negative. */
function toTimerMs(ms: number, otherwiseMs: number): number {
  return ms < 0 ? otherwiseMs : Math.min(ms, MAX_TIMER_MS);
}

/** Creates the handler of readiness probes. */
export function createReadinessListener(
  protocol: EntryProtocol,
  isReady: () => boolean,
): RequestListener {
  return (req, res) => {
    if (!protocol.isReadinessProbe(req)) return sendEmpty(res, 404);
    sendEmpty(res, isReady() ? 200 : 503);
  };
}

/** Creates the handler of host queries. */
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

/** Creates the handler that serves the metrics at the path. */
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
