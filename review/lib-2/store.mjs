/**
 * Stand-in for the platform's store: rows, the feed of changes and transactions,
 * as PROTOCOL.md describes them. It keeps all history, so that it never answers
 * 410. Engines register over `beat`, which counts as their own writer; an entry
 * goes after three intervals without a beat.
 */

import { createServer } from "node:http";

const BEAT_MS = 1_200;

export async function startStore(ip) {
  const changes = [];
  const polls = new Set();
  const beats = new Map();
  let ver = 1;

  const current = (table, part = "") => {
    const rows = new Map();
    for (const each of changes) {
      if (each.table === table && each.part === part) rows.set(each.key, each);
    }
    return rows;
  };

  function change(entries) {
    ver++;
    for (const each of entries) changes.push({ part: "", ...each, ver });
    for (const poll of [...polls]) poll();
  }

  const encode = (value) =>
    Buffer.from(JSON.stringify(value)).toString("base64");
  const toRow = ({ table, part, key, value, ver }) =>
    value === undefined
      ? { table, part, key, ver, deleted: true }
      : { table, part, key, value, ver };

  function send(res, status, body) {
    const text = JSON.stringify({ ver, now_ms: Math.round(performance.now()), ...body });
    res.writeHead(status, {
      "Content-Type": "application/json",
      "Content-Length": Buffer.byteLength(text),
    });
    res.end(text);
  }

  function read(url, res) {
    const { table, part = "", from = "", to, limit = "500" } = Object.fromEntries(
      url.searchParams,
    );
    const rows = [...current(table, part).values()]
      .filter((each) => each.value !== undefined && each.key >= from &&
        (to === undefined || each.key < to))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const most = Math.min(500, Number(limit));
    send(res, 200, {
      rows: rows.slice(0, most).map(toRow),
      truncated: rows.length > most,
    });
  }

  function follow(url, res) {
    const table = url.searchParams.get("table");
    const after = Number(url.searchParams.get("after"));
    const waitMs = Math.min(30_000, Number(url.searchParams.get("wait_ms")));
    const find = () =>
      changes.filter((each) => each.table === table && each.ver > after);
    function end() {
      polls.delete(check);
      clearTimeout(timer);
      send(res, 200, { rows: find().map(toRow) });
    }
    function check() {
      if (find().length > 0) end();
    }
    const timer = setTimeout(end, waitMs);
    res.on("close", () => {
      polls.delete(check);
      clearTimeout(timer);
    });
    polls.add(check);
    check();
  }

  function transact(body, res) {
    const { expected_rev = [], writes = [], remove = [] } = JSON.parse(body);
    if ([...writes, ...remove].some(({ table }) => ["op", "servers"].includes(table))) {
      return send(res, 403, {});
    }
    const differs = expected_rev.some(({ table, part = "", key, ver: wanted }) => {
      const row = current(table, part).get(key);
      return (row?.value === undefined ? 0 : row.ver) !== wanted;
    });
    if (differs) return send(res, 412, { rows: [] });
    change([
      ...writes.map(({ table, part = "", key, value }) => ({ table, part, key, value })),
      ...remove.map(({ table, part = "", key }) => ({ table, part, key, value: undefined })),
    ]);
    send(res, 200, {});
  }

  function beat(body, res) {
    const { id, row } = JSON.parse(body);
    const value = encode(row);
    beats.set(id, performance.now());
    if (current("servers").get(id)?.value !== value) {
      change([{ table: "servers", key: id, value }]);
    }
    send(res, 200, {});
  }

  const lapse = setInterval(() => {
    for (const [id, atMs] of beats) {
      if (performance.now() - atMs < 3 * BEAT_MS) continue;
      beats.delete(id);
      change([{ table: "servers", key: id, value: undefined }]);
    }
  }, 100);

  const server = createServer((req, res) => {
    const url = new URL(req.url, "http://store");
    if (url.pathname === "/rows-get") return read(url, res);
    if (url.pathname === "/rows-feed") return follow(url, res);
    const pieces = [];
    req.on("data", (piece) => pieces.push(piece));
    req.on("end", () => {
      const body = Buffer.concat(pieces).toString();
      if (url.pathname === "/rows-tx") transact(body, res);
      else if (url.pathname === "/beat") beat(body, res);
      else send(res, 404, {});
    });
  });
  await new Promise((resolve) => server.listen(0, ip, resolve));

  return {
    address: `${ip}:${server.address().port}`,
    putConfig: (config) =>
      change([{ table: "op", key: "config", value: encode(config) }]),
    put: (table, key, value) => change([{ table, key, value: encode(value) }]),
    remove: (table, key) => change([{ table, key, value: undefined }]),
    getKeys: (table) =>
      [...current(table).values()].filter((each) => each.value !== undefined)
        .map((each) => each.key),
    end() {
      clearInterval(lapse);
      server.close();
      server.closeAllConnections();
    },
  };
}
