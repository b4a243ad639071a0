/**
 * A fake platform as a process: a table service with conditional transactions,
 * an object store, a list of machines that lags, and a rate-limited weight
 * store. `POST /control` sets its failures: outage, lost replies, delay.
 *
 * @module
 */

import { createServer, type IncomingMessage } from "node:http";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { getDigest } from "../core/mod.ts";
import type { ConditionalWrite, ListedMachine, Row } from "../platform/mod.ts";

interface Control {
  down: boolean;
  /** Number of next writes that take effect but whose reply is lost. */
  lostReplies: number;
  delayMs: number;
}

const MACHINE_LIST_LAG_MS = 2_000;
const WEIGHT_RESERVATIONS_PER_SECOND = 2;

const tables = new Map<string, Map<string, Row>>();
const objects = new Map<string, string>();
const machines = new Map<string, ListedMachine>();
const listChanges: { atMs: number; machine: ListedMachine }[] = [];
const control: Control = { down: false, lostReplies: 0, delayMs: 0 };
const counts = { reads: 0, writes: 0, unchangedLists: 0 };
let weightsReservedAtMs: number[] = [];

function getTable(name: string): Map<string, Row> {
  const table = tables.get(name) ?? new Map<string, Row>();
  tables.set(name, table);
  return table;
}

function getRow(table: string, key: string): Row {
  return getTable(table).get(key) ?? { key, value: null, version: 0 };
}

function transact(writes: readonly ConditionalWrite[]): unknown {
  counts.writes++;
  const rows = writes.map((write) => getRow(write.table, write.key));
  const matches = writes.every((write, index) =>
    rows[index]!.version === write.expectedVersion
  );
  if (!matches) return { kind: "conflict", rows };
  for (const { table, key, value, expectedVersion } of writes) {
    if (value === null) getTable(table).delete(key);
    else getTable(table).set(key, { key, value, version: expectedVersion + 1 });
  }
  return { kind: "committed" };
}

function listRows(table: string, prefix: string): readonly Row[] {
  return [...getTable(table).values()]
    .filter((row) => row.key.startsWith(prefix))
    .sort((a, b) => a.key < b.key ? -1 : 1);
}

function getLaggingMachines(): readonly ListedMachine[] {
  const visibleMs = Date.now() - MACHINE_LIST_LAG_MS;
  while (listChanges.length > 0 && listChanges[0]!.atMs <= visibleMs) {
    const { machine } = listChanges.shift()!;
    machines.set(machine.id, machine);
  }
  return [...machines.values()];
}

function tryReserveWeights(): boolean {
  const nowMs = Date.now();
  weightsReservedAtMs = weightsReservedAtMs.filter((at) => nowMs - at < 1000);
  if (weightsReservedAtMs.length >= WEIGHT_RESERVATIONS_PER_SECOND) {
    return false;
  }
  weightsReservedAtMs.push(nowMs);
  return true;
}

function setMachines(entries: readonly ListedMachine[], atOnce: boolean): void {
  for (const machine of entries) {
    if (atOnce) machines.set(machine.id, machine);
    else listChanges.push({ atMs: Date.now(), machine });
  }
}

interface Reply {
  readonly status: number;
  readonly body: string;
}

function createReply(value: unknown, status = 200): Reply {
  return { status, body: JSON.stringify(value) };
}

function handle(method: string, path: string, body: string): Reply {
  const parsed = () => JSON.parse(body);
  if (path === "/table/transact") return createReply(transact(parsed().writes));
  if (path === "/table/get") {
    counts.reads++;
    const { table, key } = parsed();
    return createReply(getRow(table, key));
  }
  if (path === "/table/list") {
    counts.reads++;
    const { table, prefix } = parsed();
    return createReply(listRows(table, prefix));
  }
  if (path === "/machines") {
    counts.reads++;
    return createReply(getLaggingMachines());
  }
  if (path.startsWith("/objects/")) return handleObject(method, path, body);
  if (path.startsWith("/weights/")) {
    return createReply({}, tryReserveWeights() ? 200 : 429);
  }
  return createReply({}, 404);
}

function handleObject(method: string, path: string, body: string): Reply {
  if (method === "PUT") {
    objects.set(path, body);
    return createReply({});
  }
  const content = objects.get(path);
  return content === undefined
    ? createReply({}, 404)
    : { status: 200, body: content };
}

function handleControl(path: string, body: string): Reply {
  if (path === "/control/machines") {
    const { entries, atOnce } = JSON.parse(body);
    setMachines(entries, atOnce);
  } else if (path === "/control") {
    Object.assign(control, JSON.parse(body));
  }
  return createReply({ control, counts });
}

async function readText(req: IncomingMessage): Promise<string> {
  let text = "";
  for await (const chunk of req) text += chunk;
  return text;
}

const server = createServer(async (req, res) => {
  const path = req.url ?? "/";
  const body = await readText(req);
  if (path.startsWith("/control")) {
    const { status, body: text } = handleControl(path, body);
    res.writeHead(status).end(text);
    return;
  }
  if (control.down) {
    res.destroy();
    return;
  }
  if (control.delayMs > 0) await sleep(control.delayMs);
  const { status, body: text } = handle(req.method ?? "GET", path, body);
  const etag = `"${getDigest(text)}"`;
  if (path === "/machines" && req.headers["if-none-match"] === etag) {
    counts.unchangedLists++;
    res.writeHead(304, { etag }).end();
    return;
  }
  if (path === "/table/transact" && control.lostReplies > 0) {
    control.lostReplies--;
    res.destroy();
    return;
  }
  res.writeHead(status, { "content-type": "application/json", etag }).end(text);
});
server.listen(Number(process.argv[2]), "127.0.0.1");
