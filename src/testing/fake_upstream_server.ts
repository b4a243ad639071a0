/**
 * A fake upstream as a process. As an engine it batches continuously, produces
 * one token per step for each running stream, resumes and cancels streams, and
 * reports its load with a lag. As a plain service it runs every call that it
 * receives, without deduplication; `GET /log` lists the calls that ran.
 *
 * Usage: fake_upstream_server.js ID PORT engine|plain checks|ignores
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";

interface Stream {
  readonly tag: string;
  readonly length: number;
  produced: number;
  readonly readers: Set<ServerResponse>;
  cancelled: boolean;
  endedMs: number;
}

/** A call or order that was started here. */
interface Run {
  readonly request: string;
  readonly key: string;
  readonly operation: string;
}

interface Control {
  stepMs: number;
  callMs: number;
  /** Whether it keeps connections open but sends nothing. */
  stalled: boolean;
  leaving: boolean;
  /** Time to load a model, in ms. */
  loadModelMs: number;
}

const [id = "", port = "", kind = "", fencing = ""] = process.argv.slice(2);
const BATCH_SIZE = 16;
const ENDED_STREAM_RETENTION_MS = 30_000;
const LOAD_REPORT_LAG_MS = 1_000;
/** Interval of heartbeats on open streams, by which stalls are detected. */
const HEARTBEAT_MS = 1_000;
const CRASH_MARKER = "crash-the-upstream";

const control: Control = {
  stepMs: 10,
  callMs: 20,
  stalled: false,
  leaving: false,
  loadModelMs: 500,
};
const streams = new Map<string, Stream>();
const log: Run[] = [];
const loads: { atMs: number; running: number }[] = [];
const models = new Set<string>();
let highestToken = 0;
let role = "";
let workingOn = "";

/** Also writes to standard output, since a crash loses the log in memory. */
function record(run: Run): void {
  log.push(run);
  process.stdout.write(JSON.stringify(run) + "\n");
}

function getRunning(): Stream[] {
  const open = [...streams.values()].filter((stream) =>
    !stream.cancelled && stream.produced < stream.length
  );
  return open.slice(0, BATCH_SIZE);
}

function sendToken(stream: Stream, reader: ServerResponse, at: number): void {
  const data = JSON.stringify({ text: `${stream.tag}:${at} ` });
  reader.write(`id: ${at}\nevent: token\ndata: ${data}\n\n`);
}

function sendEnd(stream: Stream, reader: ServerResponse): void {
  const data = JSON.stringify({ tokens: stream.length });
  reader.end(`id: ${stream.length}\nevent: end\ndata: ${data}\n\n`);
}

function step(): void {
  for (const stream of getRunning()) {
    const at = stream.produced++;
    for (const reader of stream.readers) sendToken(stream, reader, at);
    if (stream.produced < stream.length) continue;
    stream.endedMs = Date.now();
    for (const reader of stream.readers) sendEnd(stream, reader);
  }
  for (const [name, stream] of streams) {
    const isOld = stream.endedMs > 0 &&
      Date.now() - stream.endedMs > ENDED_STREAM_RETENTION_MS;
    if (isOld || stream.cancelled) streams.delete(name);
  }
  loads.push({ atMs: Date.now(), running: getRunning().length });
  while (loads.length > 1 && loads[1]!.atMs < Date.now() - LOAD_REPORT_LAG_MS) {
    loads.shift();
  }
}

function attach(stream: Stream, res: ServerResponse, offset: number): void {
  res.writeHead(200, { "content-type": "text/event-stream" });
  res.flushHeaders();
  for (let at = offset; at < stream.produced; at++) {
    sendToken(stream, res, at);
  }
  if (stream.produced >= stream.length) {
    sendEnd(stream, res);
    return;
  }
  stream.readers.add(res);
  res.on("close", () => stream.readers.delete(res));
}

function generate(request: string, body: string, res: ServerResponse): void {
  const { tag, tokens, prompt = "" } = JSON.parse(body);
  record({ request, key: String(tag), operation: "generate" });
  if (String(prompt).includes(CRASH_MARKER)) process.exit(70);
  const stream: Stream = {
    tag: String(tag),
    length: Number(tokens),
    produced: 0,
    readers: new Set(),
    cancelled: false,
    endedMs: 0,
  };
  streams.set(request, stream);
  attach(stream, res, 0);
}

function resume(url: URL, res: ServerResponse): void {
  const stream = streams.get(url.pathname.split("/")[2] ?? "");
  if (stream === undefined) {
    res.writeHead(404).end();
    return;
  }
  attach(stream, res, Number(url.searchParams.get("offset") ?? 0));
}

function cancel(url: URL, res: ServerResponse): void {
  const stream = streams.get(url.pathname.split("/")[2] ?? "");
  if (stream === undefined) {
    res.writeHead(404).end();
    return;
  }
  if (url.searchParams.get("if") === "unread" && stream.readers.size > 0) {
    res.writeHead(409).end();
    return;
  }
  stream.cancelled = true;
  res.end(JSON.stringify({ tokens: stream.produced }));
}

/** Rejects an old fencing token if the engine checks tokens. */
function receiveOrder(body: string, res: ServerResponse): void {
  const { token, order, name = "" } = JSON.parse(body);
  if (fencing === "checks" && token < highestToken) {
    res.writeHead(409).end();
    return;
  }
  highestToken = Math.max(highestToken, token);
  record({ request: "", key: String(token), operation: "order" });
  executeOrder(order ?? {}, String(name));
  res.writeHead(200).end("{}");
}

/** Executes an order; a model is available once its load has completed. */
function executeOrder(
  order: { kind?: string; model?: string; role?: string },
  name: string,
): void {
  if (order.kind === "unload") models.delete(String(order.model));
  else if (order.kind === "role") role = String(order.role);
  else if (order.kind === "load") {
    workingOn = name;
    setTimeout(() => {
      models.add(String(order.model));
      workingOn = "";
    }, control.loadModelMs);
  }
}

async function runCall(
  req: IncomingMessage,
  operation: string,
  res: ServerResponse,
): Promise<void> {
  const key = String(req.headers["idempotency-key"] ?? "");
  record({
    request: String(req.headers["azurestile-request"] ?? ""),
    key,
    operation,
  });
  await sleep(control.callMs);
  if (control.stalled) return;
  res.writeHead(200, { "content-type": "application/json" });
  res.end(JSON.stringify({ operation, key, by: id }));
}

async function handle(
  req: IncomingMessage,
  res: ServerResponse,
): Promise<void> {
  const url = new URL(req.url ?? "/", "http://upstream");
  let body = "";
  for await (const chunk of req) body += chunk;
  const [, first = "", second = ""] = url.pathname.split("/");
  if (first === "control") {
    Object.assign(control, JSON.parse(body || "{}"));
    res.end(JSON.stringify(control));
  } else if (first === "log") {
    res.end(JSON.stringify(log));
  } else if (first === "load") {
    const running = loads[0]?.running ?? 0;
    const { leaving } = control;
    const managed = kind === "engine" ? { models: [...models], role } : {};
    res.end(
      JSON.stringify({ running, leaving, workingOn, ...managed }),
    );
  } else if (first === "orders") {
    receiveOrder(body, res);
  } else if (kind === "engine" && first === "generate") {
    generate(String(req.headers["azurestile-request"]), body, res);
  } else if (kind === "engine" && first === "streams") {
    if (req.method === "DELETE") cancel(url, res);
    else resume(url, res);
  } else if (kind === "plain" && first === "calls") {
    await runCall(req, second, res);
  } else {
    res.writeHead(404).end();
  }
}

async function runSteps(): Promise<never> {
  while (true) {
    await sleep(control.stepMs);
    if (!control.stalled) step();
  }
}

function sendHeartbeats(): void {
  if (control.stalled) return;
  for (const stream of streams.values()) {
    for (const reader of stream.readers) reader.write(": heartbeat\n\n");
  }
}

setInterval(sendHeartbeats, HEARTBEAT_MS);
createServer(handle).listen(Number(port), "127.0.0.1");
if (kind === "engine") runSteps();
