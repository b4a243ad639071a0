// Starts entry hosts by the command of the deploy file, each on a loopback
// address of its own, with small stand-ins for the platform's store, engines
// and clients. The stand-ins follow PROTOCOL.md; nothing of the project is
// loaded here.
import { spawn } from "node:child_process";
import { createServer, request as httpRequest, Agent } from "node:http";
import net from "node:net";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { setTimeout as sleep } from "node:timers/promises";
import { performance } from "node:perf_hooks";

export { sleep };
export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "../..");

/** Milliseconds since the script began. */
const startedMs = performance.now();
export const now = () => performance.now() - startedMs;

/** Collects the lines of record.txt. */
export function createRecord() {
  const lines = [];
  return {
    lines,
    add(text) {
      lines.push(`${now().toFixed(0).padStart(8)} ${text}`);
    },
    write(folder) {
      writeFileSync(join(folder, "record.txt"), `${lines.join("\n")}\n`);
    },
  };
}

let nextNet = 1 + Math.floor(Math.random() * 250);
/** First three bytes of a loopback network that this process uses alone. */
export function drawNet() {
  nextNet = 1 + (nextNet % 250);
  return `127.${1 + (process.pid % 250)}.${nextNet}`;
}

/**
 * The platform's store: rows, reads, a feed with long polls, transactions. Each
 * acknowledged change has a version; answers are linearizable.
 */
export async function startStore(ip, record) {
  const tables = new Map();
  const changes = [];
  const polls = new Set();
  let ver = 1;

  const getTable = (name) => {
    if (!tables.has(name)) tables.set(name, new Map());
    return tables.get(name);
  };
  function change(table, key, value) {
    if (value === undefined) getTable(table).delete(key);
    else getTable(table).set(key, { table, part: "", key, value, ver });
    changes.push(
      value === undefined
        ? { table, part: "", key, ver, deleted: true }
        : { table, part: "", key, value, ver },
    );
  }
  function answer(res, status, body) {
    if (res.destroyed) return;
    const text = JSON.stringify({ ...body, ver, now_ms: Math.round(now()) });
    res.writeHead(status, {
      "Content-Type": "application/json",
      "Content-Length": Buffer.byteLength(text),
    });
    res.end(text);
  }
  function tryAnswer(poll, isDue = false) {
    const rows = changes.filter((each) =>
      each.table === poll.table && each.ver > poll.after
    );
    if (rows.length === 0 && !isDue) return;
    polls.delete(poll);
    clearTimeout(poll.timer);
    answer(poll.res, 200, { rows });
  }
  function wake() {
    for (const poll of [...polls]) tryAnswer(poll);
  }
  const server = createServer((req, res) => {
    const url = new URL(req.url, "http://store");
    const q = url.searchParams;
    if (url.pathname === "/rows-get") {
      const rows = [...getTable(q.get("table")).values()]
        .filter((each) => each.key >= (q.get("from") ?? ""))
        .sort((a, b) => (a.key < b.key ? -1 : 1));
      const limit = Math.min(500, Number(q.get("limit") ?? 500));
      return answer(res, 200, {
        rows: rows.slice(0, limit),
        truncated: rows.length > limit,
      });
    }
    if (url.pathname === "/rows-feed") {
      const poll = {
        table: q.get("table"),
        after: Number(q.get("after")),
        res,
      };
      poll.timer = setTimeout(
        () => tryAnswer(poll, true),
        Number(q.get("wait_ms") ?? 0),
      );
      polls.add(poll);
      res.on("close", () => {
        clearTimeout(poll.timer);
        polls.delete(poll);
      });
      return tryAnswer(poll);
    }
    if (url.pathname === "/rows-tx") {
      const parts = [];
      req.on("data", (bytes) => parts.push(bytes));
      req.on("end", () => {
        const body = JSON.parse(Buffer.concat(parts).toString());
        ver++;
        for (const each of body.writes ?? []) {
          change(each.table, each.key, each.value);
        }
        for (const each of body.remove ?? []) change(each.table, each.key);
        wake();
        answer(res, 200, {});
      });
      return;
    }
    answer(res, 404, {});
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, ip, resolve));
  const address = `${ip}:${server.address().port}`;
  return {
    address,
    /** Writes a row; returns the time of the acknowledgement. */
    put(table, key, value) {
      ver++;
      change(table, key, Buffer.from(JSON.stringify(value)).toString("base64"));
      wake();
      return now();
    },
    remove(table, key) {
      ver++;
      change(table, key);
      wake();
      record?.add(`store: row ${table}/${key} is gone, version ${ver}`);
      return now();
    },
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}

/** A TCP relay before the store, one for each host, that can be cut. */
export async function startRelay(ip, target) {
  const [host, port] = target.split(":");
  const pairs = new Set();
  let mode = "open";
  let bytesOut = 0;
  const polled = new Map();
  const server = net.createServer((socket) => {
    socket.on("error", () => {});
    if (mode === "reset") return socket.resetAndDestroy();
    const upstream = net.connect({ host, port: Number(port) });
    upstream.on("error", () => {});
    const pair = { socket, upstream };
    pairs.add(pair);
    socket.on("data", (bytes) => {
      const text = bytes.toString("latin1");
      for (const [, table] of text.matchAll(/rows-feed\?table=([\w-]+)/g)) {
        polled.set(table, now());
      }
      if (mode === "open") upstream.write(bytes);
    });
    upstream.on("data", (bytes) => {
      bytesOut += bytes.length;
      if (mode === "open") socket.write(bytes);
    });
    const end = () => {
      pairs.delete(pair);
      socket.destroy();
      upstream.destroy();
    };
    socket.on("close", end);
    upstream.on("close", end);
  });
  await new Promise((resolve) => server.listen(0, ip, resolve));
  return {
    address: `${ip}:${server.address().port}`,
    /** When the host behind the relay last polled the table; -Infinity. */
    getPolledMs: (table) => polled.get(table) ?? -Infinity,
    /** "open"; "silent": nothing passes; "reset": channels are reset. */
    setMode(next) {
      mode = next;
      if (next !== "reset") return;
      for (const { socket, upstream } of [...pairs]) {
        socket.resetAndDestroy();
        upstream.destroy();
      }
    },
    close() {
      for (const { socket, upstream } of [...pairs]) {
        socket.destroy();
        upstream.destroy();
      }
      server.close();
    },
  };
}

/**
 * A sound engine of a plain service: it runs each request for `workMs`, drops a
 * request whose channel closes, and answers 421 to what is meant for another.
 */
export async function startEngine(ip, options, record) {
  const { id, service, zone = "lagos-ikeja", workMs = 20 } = options;
  const runs = [];
  const server = createServer((req, res) => {
    const arrivedMs = now();
    const chunks = [];
    req.on("data", (bytes) => chunks.push(bytes));
    req.on("end", () => {
      const request = String(req.headers["x-attempt-id"]);
      if (
        req.headers["x-expect-instance"] !== undefined &&
        req.headers["x-expect-instance"] !== id
      ) {
        res.writeHead(421, { "X-Instance-Id": id, "Content-Length": 0 });
        return res.end();
      }
      const run = { request, arrivedMs, path: req.url, ended: "running", req };
      runs.push(run);
      record?.add(`engine ${id}: runs ${request}`);
      const answer = `done ${request}\n`;
      const timer = setTimeout(() => {
        run.ended = "whole";
        res.writeHead(200, {
          "X-Attempt-Id": request,
          "X-Response-Seal": "s",
          "Content-Length": answer.length,
        });
        res.end(answer);
      }, workMs);
      res.on("close", () => {
        clearTimeout(timer);
        if (run.ended === "running") run.ended = "cut";
      });
    });
  });
  server.keepAliveTimeout = 60_000;
  await new Promise((resolve) => server.listen(0, ip, resolve));
  const born = Date.now();
  const address = `${ip}:${server.address().port}`;
  return {
    id,
    address,
    runs,
    row: (changes = {}) => ({
      service,
      address,
      zone,
      version: "v1",
      slots: 6,
      state: "ready",
      warmup_left_ms: 0,
      seq: 1,
      born,
      ...changes,
    }),
    exit() {
      server.closeAllConnections();
      server.close();
    },
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}

/** A settings file like that of a small deployment. */
function createSettings({ name, ip, zone, store, seeds, bounds = {} }) {
  const values = {
    node_name: name,
    role: "entry",
    machine_class: "edge",
    serves: "edge,control,registry",
    ip,
    zone,
    region: "lagos",
    "zones.lagos-ikeja": "lagos",
    "zones.lagos-lekki": "lagos",
    "listen.front": `${ip}:8783`,
    "listen.readiness": `${ip}:8780`,
    "listen.control": `${ip}:8785`,
    "listen.directory": `${ip}:8789`,
    internal_ports: "7400,7415",
    seeds: seeds.map((each) => `${each}:8785`).join(","),
    bootstrap: "true",
    in_tolerance: "false",
    "limits.cpu_share": "0.675",
    "limits.cores": "1",
    "limits.memory_mb": "350",
    "limits.max_fds": "4100",
    "limits.link_mbps": "1000.0",
    "limits.disk_mb": "0",
    discovery: "platform",
    entry: "registry",
    heartbeat_ms: "1200",
    "fault_tolerance.machines": "1",
    "bounds.contact_ms": "4000",
    "bounds.drain_ms": "2500",
    "bounds.grace_s": "8",
    "bounds.loss_slack_ms": "200",
    "bounds.config_apply_ms": "2500",
    "bounds.retry_ratio": "0.2",
    "bounds.retry_window_s": "10",
    "bounds.retry_slack": "58",
    "bounds.recovery_s": "12",
    "bounds.pass_ms": "300",
    "bounds.ttl_max_s": "5",
    "platform.address": store,
    "platform.form": "table",
    "platform.writes_per_s": "400",
    "platform.reads_per_s": "2000",
    "platform.row_bytes": "65536",
    ...bounds,
  };
  return Object.entries(values).map(([key, value]) => `${key}=${value}\n`)
    .join("");
}

/** Entry hosts as processes. */
export async function startHosts(
  { count, store, record, zones = ["lagos-ikeja"], bounds, net = drawNet() },
) {
  const folder = mkdtempSync(join(tmpdir(), "review-"));
  const seeds = [1, 2, 3].map((each) => `${net}.${each}`);
  const hosts = [];

  async function start(at) {
    const ip = `${net}.${at + 1}`;
    const name = `edge-${at + 1}`;
    const relay = hosts[at]?.relay ?? await startRelay(`${net}.200`, store);
    const path = join(folder, `${name}.conf`);
    const zone = zones[at % zones.length];
    writeFileSync(
      path,
      createSettings({ name, ip, zone, store: relay.address, seeds, bounds }),
    );
    const child = spawn(
      "node",
      [
        "--max-old-space-size=200",
        "target/azurestile-entry.mjs",
        "--metrics",
        "9464/metrics",
      ],
      {
        cwd: ROOT,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          AZURESTILE_BOOT: path,
        },
        stdio: ["ignore", "pipe", "pipe"],
      },
    );
    const host = {
      name,
      ip,
      relay,
      child,
      front: `${ip}:8783`,
      events: [],
      exit: undefined,
    };
    record?.add(`${name}: process ${child.pid} started`);
    let rest = "";
    child.stdout.on("data", (bytes) => {
      rest += bytes;
      const lines = rest.split("\n");
      rest = lines.pop();
      for (const line of lines) {
        try {
          host.events.push({ ...JSON.parse(line), seenMs: now() });
        } catch {
          // Not a line of the log.
        }
      }
    });
    child.stderr.on("data", (bytes) => record?.add(`${name}: ${bytes}`));
    host.ended = new Promise((resolve) =>
      child.on("exit", (code, signal) => {
        host.exit = { code, signal, atMs: now() };
        record?.add(
          `${name}: process ${child.pid} ended, code ${code}, signal ${signal}`,
        );
        resolve();
      })
    );
    hosts[at] = host;
    return host;
  }

  // However the script ends, its hosts end with it.
  process.on("exit", () => {
    for (const { child, exit } of hosts) {
      if (exit === undefined) child.kill("SIGKILL");
    }
  });
  for (const signal of ["SIGTERM", "SIGINT"]) {
    process.once(signal, () => process.exit(2));
  }

  for (let at = 0; at < count; at++) await start(at);
  return {
    hosts,
    net,
    start,
    async stop() {
      for (const { child, exit, relay } of hosts) {
        if (exit === undefined) child.kill("SIGKILL");
        relay.close();
      }
      await Promise.all(hosts.map((each) => each.ended));
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

/** Whether the host answers its readiness probe with 200. */
export function isReady({ ip }) {
  return new Promise((resolve) => {
    const req = httpRequest({
      host: ip,
      port: 8780,
      path: "/readyz",
      agent: false,
      timeout: 1_000,
    }, (res) => {
      res.resume();
      resolve(res.statusCode === 200);
    });
    req.on("timeout", () => req.destroy());
    req.on("error", () => resolve(false));
    req.end();
  });
}

export async function until(what, condition, limitMs = 20_000) {
  const sinceMs = now();
  while (!await condition()) {
    if (now() - sinceMs > limitMs) throw new Error(`Not met: ${what}`);
    await sleep(20);
  }
}

/** A client with kept channels to one host. */
export function createClient(host) {
  const [ip, port] = host.front.split(":");
  const agent = new Agent({ keepAlive: true, maxSockets: 64 });
  return {
    /** Resolves with what the client saw; never rejects. */
    send({ id, method = "GET", path, hostName, key, deadlineMs, body }) {
      const sentMs = now();
      return new Promise((resolve) => {
        const done = (result) =>
          resolve({ id, sentMs, endedMs: now(), ...result });
        const req = httpRequest({
          agent,
          host: ip,
          port: Number(port),
          method,
          path,
          headers: {
            Host: hostName,
            "X-Attempt-Id": id,
            "X-Deadline-Ms": String(deadlineMs),
            "Api-Key": key,
            ...(body === undefined ? {} : { "Content-Length": body.length }),
          },
        }, (res) => {
          const parts = [];
          res.on("data", (bytes) => parts.push(bytes));
          res.on("error", (err) => done({ status: 0, error: err.code }));
          res.on("end", () =>
            done({
              status: res.statusCode,
              headers: res.headers,
              body: Buffer.concat(parts).toString(),
            }));
        });
        req.on("error", (err) => done({ status: 0, error: err.code }));
        req.end(body);
      });
    },
    close: () => agent.destroy(),
  };
}

export const KEY = "asnmgkcuyj8pjbvk9m68";
export const HOST_NAME = "ficu95.example";

/** A configuration in the form of PROTOCOL.md. */
export function createConfig(version, routes, services, limits = {}) {
  return {
    version,
    routes,
    services,
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
      tokens_per_s: 237_999,
      ...limits,
    },
    tenants: [{ name: "hule930", api_keys: [KEY], priority: 1 }],
  };
}
