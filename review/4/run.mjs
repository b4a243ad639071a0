// An engine leaves while three machines are lost and another is cut off from
// the store. See claim.txt.
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
  now,
  sleep,
  startEngine,
  startHosts,
  startStore,
  until,
} from "../lib/fleet.mjs";

const FOLDER = dirname(fileURLToPath(import.meta.url));
const HAS_TROUBLE = process.env.TROUBLE !== "0";
const HOSTS = 9;
const DRAIN_MS = 2_500;
const CONTACT_MS = 4_000;
/** The engine serves this long after its row is gone, then it exits. */
const SERVES_MS = 2_900;
const POLL_FRESH_MS = 1_500;
const SEND_GAP_MS = 60;

const record = createRecord();
const ROUTE = {
  host: HOST_NAME,
  service: "xano55b",
  timeout_ms: 1_000,
  slo_ms: 200,
  priority: 2,
  public: false,
  sticky: false,
  resumable: false,
};
const CONFIG = createConfig(7, [
  { ...ROUTE, name: "r-book", prefix: "/puxa403/", type: "unsafe" },
  { ...ROUTE, name: "r-read", prefix: "/cufi504/", type: "safe" },
].map((each) => ({ ...each, max_attempts: each.type === "safe" ? 2 : 1 })), [
  { name: "xano55b", health_path: "/healthz", max_conns: 110 },
]);

async function play() {
  const net = drawNet();
  const store = await startStore(`${net}.201`, record);
  store.put("op", "config", CONFIG);
  const engines = [];
  for (const id of ["i-a", "i-b", "i-c"]) {
    const engine = await startEngine(`${net}.202`, {
      id,
      service: "xano55b",
      workMs: 100,
    }, record);
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
    // No host is in its first seconds, and all are in touch.
    await sleep(2 * CONTACT_MS);

    let sent = 0;
    const lost = new Set();
    timer = setInterval(() => {
      for (const [at, client] of clients.entries()) {
        if (lost.has(at)) continue;
        sent++;
        const isSafe = sent % 2 === 0;
        void client.send({
          id: `h${at + 1}-${sent}`,
          path: isSafe ? "/cufi504/a" : "/puxa403/b",
          method: isSafe ? "GET" : "POST",
          body: isSafe ? undefined : Buffer.from("x=1"),
          hostName: HOST_NAME,
          key: KEY,
          deadlineMs: 1_000,
        }).then((result) => results.push({ at, isSafe, ...result }));
      }
    }, SEND_GAP_MS);
    await sleep(1_000);

    const getReaders = () =>
      hosts.flatMap(({ relay }, at) =>
        !lost.has(at) && now() - relay.getPolledMs("servers") < POLL_FRESH_MS
          ? [at]
          : []
      );
    let cutOff = -1;
    if (HAS_TROUBLE) {
      cutOff = getReaders()[0];
      record.add(`trouble: ${hosts[cutOff].name} is cut off from the store`);
      hosts[cutOff].relay.setMode("reset");
      await sleep(1_200);
      const killed = getReaders().filter((each) => each !== cutOff).slice(0, 3);
      for (const each of killed) {
        lost.add(each);
        record.add(`trouble: ${hosts[each].name} is lost (SIGKILL)`);
        hosts[each].child.kill("SIGKILL");
      }
    }
    const leaving = engines[0];
    const goneMs = store.remove("servers", leaving.id);
    record.add(`engine ${leaving.id} leaves; its row is gone`);
    await sleep(SERVES_MS);
    leaving.exit();
    record.add(`engine ${leaving.id} exits`);
    await sleep(1_500);
    clearInterval(timer);
    await sleep(1_200);

    const isInTouch = (request) => {
      const at = Number(request.slice(1).split("-")[0]) - 1;
      return at !== cutOff && !lost.has(at);
    };
    const late = leaving.runs.filter((each) =>
      each.arrivedMs > goneMs + DRAIN_MS && isInTouch(each.request)
    );
    for (const each of results) {
      record.add(
        `client: ${each.id} ${each.isSafe ? "safe" : "unsafe"} sent ${
          each.sentMs.toFixed(0)
        } ended ${each.endedMs.toFixed(0)} status ${each.status} ${
          each.error ?? ""
        }`,
      );
    }
    const lastMs = Math.max(0, ...late.map((each) => each.arrivedMs - goneMs));
    const cut = late.filter((each) => each.ended !== "whole");
    const unanswered = results.filter((each) =>
      !each.isSafe && each.status !== 200 &&
      cut.some((run) => run.request === each.id)
    );
    record.add(
      `result: ${late.length} requests of machines in touch reached ${leaving.id} later than ${DRAIN_MS} ms after the store had acknowledged that it is gone, the last ${
        lastMs.toFixed(0)
      } ms after it; ${cut.length} of them were cut by its exit, of which ${unanswered.length} were unsafe and got no success`,
    );
    console.log(record.lines.at(-1));
    return late.length > 0 ? 1 : 0;
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
