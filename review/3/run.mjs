// Another writer puts an entry into the store that names no engine. See
// claim.txt.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  createClient,
  createConfig,
  createRecord,
  drawNet,
  HOST_NAME,
  isReady,
  KEY,
  sleep,
  startEngine,
  startHosts,
  startStore,
  until,
} from "../lib/fleet.mjs";

const FOLDER = dirname(fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== "0";
const HOSTS = 3;
const CONTACT_MS = 4_000;
const SEND_GAP_MS = 40;
const PLAY_MS = 10_000;

const record = createRecord();
const ROUTE = {
  host: HOST_NAME,
  timeout_ms: 1_000,
  slo_ms: 200,
  priority: 2,
  public: false,
  sticky: false,
  resumable: false,
};
const ROUTES = [
  { ...ROUTE, name: "r-chat", prefix: "/pufi791/", type: "safe" },
  { ...ROUTE, name: "r-book", prefix: "/puxa403/", type: "unsafe" },
  { ...ROUTE, name: "r-read", prefix: "/cufi504/", type: "safe" },
].map((each) => ({
  ...each,
  service: each.name === "r-chat" ? "other22" : "xano55b",
  max_attempts: each.type === "safe" ? 2 : 1,
}));
const SERVICES = [
  { name: "other22", health_path: "/healthz", max_conns: 110 },
  { name: "xano55b", health_path: "/healthz", max_conns: 110 },
];
/** The first version, and one that adds two routes. */
const FIRST_CONFIG = createConfig(7, ROUTES.slice(0, 1), SERVICES);
const NEXT_CONFIG = createConfig(9, ROUTES, SERVICES);
const KINDS = [
  { kind: "first", path: "/pufi791/c", method: "GET" },
  { kind: "added, unsafe", path: "/puxa403/b", method: "POST" },
  { kind: "added, safe", path: "/cufi504/a", method: "GET" },
];

async function play() {
  const net = drawNet();
  const store = await startStore(`${net}.201`, record);
  store.put("op", "config", FIRST_CONFIG);
  const engines = [];
  for (const [id, service] of [
    ["i-a", "xano55b"],
    ["i-b", "xano55b"],
    ["i-c", "xano55b"],
    ["i-d", "other22"],
  ]) {
    const engine = await startEngine(`${net}.202`, { id, service });
    engines.push(engine);
    store.put("servers", id, engine.row());
  }
  const fleet = await startHosts({
    count: HOSTS,
    store: store.address,
    record,
    net,
  });
  const { hosts } = fleet;
  const clients = hosts.map(createClient);
  const results = [];
  let timer;
  try {
    await until("all hosts are ready", async () =>
      (await Promise.all(hosts.map(isReady))).every((each) => each));
    await sleep(2 * CONTACT_MS);
    store.put("op", "config", NEXT_CONFIG);
    record.add("plan: a version of the configuration adds two routes");
    if (HAS_TROUBLE) {
      // Fields are missing, and no address can have that port.
      const address = `${net}.203:80800`;
      const { seq: _, warmup_left_ms: __, ...row } = engines[0].row({ address });
      store.put("servers", "i-01", row);
      record.add(`trouble: an entry of another writer, ${JSON.stringify(row)}`);
    }
    await sleep(2 * CONTACT_MS);
    let sent = 0;
    timer = setInterval(() => {
      for (const [at, client] of clients.entries()) {
        const { kind, path, method } = KINDS[(sent + Math.floor(sent / KINDS.length)) % KINDS.length];
        sent++;
        void client.send({
          id: `h${at + 1}-${sent}`,
          path,
          method,
          body: method === "POST" ? Buffer.from("x=1") : undefined,
          hostName: HOST_NAME,
          key: KEY,
          deadlineMs: 1_000,
        }).then((result) => results.push({ kind, ...result }));
      }
    }, SEND_GAP_MS);
    await sleep(PLAY_MS);
    clearInterval(timer);
    await sleep(1_500);

    for (const { id, kind, status, error, body } of results) {
      record.add(
        `client: ${id} ${kind} status ${status} ${error ?? ""} ${
          status === 200 ? "" : (body ?? "").trim()
        }`,
      );
    }
    const getServed = (list) =>
      list.filter((each) => each.status === 200).length / list.length;
    const [first, ...added] = KINDS.map(({ kind }) =>
      getServed(results.filter((each) => each.kind === kind))
    );
    const failed = results.filter((each) => each.status !== 200).length;
    const percent = (share) => `${(100 * share).toFixed(1)}%`;
    record.add(
      `result: served on the first route ${
        percent(first)
      }, on the two added ones ${
        added.map(percent).join(" and ")
      }; ${failed} of ${results.length} requests failed`,
    );
    console.log(record.lines.at(-1));
    return added.some((each) => each < first / 4) ? 1 : 0;
  } finally {
    clearInterval(timer);
    for (const each of clients) each.close();
    await fleet.stop();
    for (const each of engines) each.close();
    store.close();
  }
}

let code = 2;
try {
  code = await play();
} catch (err) {
  record.add(`could not run: ${err}`);
  console.error(err);
} finally {
  record.write(FOLDER);
}
process.exit(code);
