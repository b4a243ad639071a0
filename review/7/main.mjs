/**
 * Channels that clients open at a machine while it is slow, and on which they send
 * another request after the machine got SIGTERM.
 */

import { fork } from "node:child_process";
import { writeFileSync } from "node:fs";
import { connect } from "node:net";
import { request } from "node:http";
import { dirname, join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { own } from "../lib-2/children.mjs";
import { createConfig, HOST_NAME, KEY } from "../lib-2/config.mjs";
import { pickNet, startHosts, untilReady } from "../lib-2/hosts.mjs";
import { startStore } from "../lib-2/store.mjs";

const FOLDER = dirname(fileURLToPath(import.meta.url));
const TROUBLE = process.env.TROUBLE !== "0";
const SERVICE = "huvo11a";
const ZONE = "lagos-ikeja";

/** The machine's share of a core, 0.675, while it runs 5.5 times slower. */
const SLOW_SHARE = 0.675 / 5.5;
const QUOTA_MS = 100;
const SLOW_MS = 5_000;
/** Ordinary requests a second at that machine, and the bytes of each. */
const ORDINARY_PER_S = 11;
const ORDINARY_BYTES = 17_000;
/** Moments in ms after the slow-down began. */
const OPEN_FROM_MS = 1_500;
const CHANNELS = 48;
const CHANNEL_GAP_MS = 70;
const TERM_MS = SLOW_MS + 500;
/** Later than contact_ms after the slow-down, and than 3 s after SIGTERM. */
const SEND_MS = SLOW_MS + 4_200;
const GRACE_MS = 8_000;
const DEADLINE_MS = 10_000;

const record = [];
const startMs = performance.now();
const note = (text) => record.push(`${((performance.now() - startMs) / 1_000).toFixed(3)} s  ${text}`);

const net = pickNet();
const store = await startStore(`${net}.100`);
const children = [];
const stops = [];
const runs = new Map();

async function addEngine(at) {
  const ip = `${net}.${101 + at}`;
  const options = { id: `i-${at}7f3a91c2`, service: SERVICE, zone: ZONE, ip, port: 8443, address: `${ip}:8443`, store: store.address };
  const child = own(fork(join(FOLDER, "engine.mjs"), [JSON.stringify(options)]));
  children.push(child);
  await new Promise((resolve) => {
    child.on("message", (message) => {
      if (message.prepared) child.send("listen");
      if (message.listening) resolve();
      if (message.ran) runs.set(message.ran, { id: message.id, isWhole: undefined });
      if (message.ended) runs.get(message.ended).isWhole = message.isWhole;
    });
  });
}

function sendOrdinary(host, at) {
  const [ip, port] = host.front.split(":");
  const req = request({
    host: ip, port, method: "POST", path: "/survey/1", agent: false,
    headers: { Host: HOST_NAME, "X-Attempt-Id": `ordinary-${at}`, "X-Deadline-Ms": 8_000, "Api-Key": KEY, "Content-Length": ORDINARY_BYTES },
  });
  req.on("error", () => {});
  req.on("response", (res) => {
    res.resume();
    res.on("error", () => {});
  });
  req.end(Buffer.alloc(ORDINARY_BYTES, 97));
}

/**
 * Opens a channel of a client, which asks for a route that isn't there, as some do
 * to see which configuration is in force, and keeps the channel for its request.
 */
function openChannel(host, at) {
  const [ip, port] = host.front.split(":");
  const channel = { id: `late-${at}`, text: "", status: 0, isComplete: false, endMs: undefined };
  const socket = connect({ host: ip, port: Number(port) });
  const write = (path, id) =>
    socket.write([
      `POST ${path} HTTP/1.1`, `Host: ${HOST_NAME}`, `X-Attempt-Id: ${id}`,
      `X-Deadline-Ms: ${DEADLINE_MS}`, `Api-Key: ${KEY}`, "Content-Length: 4", "", "text",
    ].join("\r\n"));
  socket.on("connect", () => write("/none/1", `probe-${at}`));
  socket.on("error", () => {});
  socket.on("data", (bytes) => {
    channel.text += bytes;
    if (!channel.isKept) {
      const head = channel.text.split("\r\n\r\n")[0];
      const length = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? NaN);
      if (channel.text.length < head.length + 4 + length) return;
      channel.isKept = !/^connection: close/im.test(head);
      channel.text = "";
      return;
    }
    channel.status = Number(channel.text.slice(9, 12));
    const isChunked = /^transfer-encoding: chunked/im.test(channel.text);
    const body = channel.text.split("\r\n\r\n").slice(1).join("\r\n\r\n");
    channel.isComplete = isChunked ? channel.text.endsWith("\r\n0\r\n\r\n") : body.length > 0;
    if (channel.isComplete) socket.end();
  });
  channel.done = new Promise((resolve) =>
    socket.on("close", () => {
      channel.isClosed = true;
      channel.endMs = performance.now();
      resolve();
    })
  );
  channel.send = () => {
    channel.sentMs = performance.now();
    write("/chat/1", channel.id);
  };
  channel.leave = () => socket.destroy();
  return channel;
}

/** Lets the process run for a share of each tenth of a second only. */
async function slowDown(child, untilMs) {
  while (performance.now() < untilMs) {
    child.kill("SIGCONT");
    await sleep(QUOTA_MS * SLOW_SHARE);
    child.kill("SIGSTOP");
    await sleep(QUOTA_MS * (1 - SLOW_SHARE));
  }
  child.kill("SIGCONT");
}

let code = 2;
try {
  const stream = { type: "stream", slo_ms: 800, gap_target_ms: 400 };
  store.putConfig(createConfig(7, SERVICE, [
    { ...stream, name: "r-survey", prefix: "/survey/", timeout_ms: 8_000 },
    { ...stream, name: "r-chat", prefix: "/chat/", timeout_ms: 10_000 },
  ]));
  for (const at of [0, 1, 2]) await addEngine(at);
  const fleet = await startHosts({
    net, zones: [ZONE, ZONE, ZONE, ZONE], storeAddress: store.address, logFolder: process.env.LOGS,
  });
  stops.push(fleet.stopAll);
  await untilReady(fleet.hosts);
  await sleep(3_000);
  const [host] = fleet.hosts;
  const beginMs = performance.now();
  const until = (ms) => sleep(Math.max(0, beginMs + ms - performance.now()));
  const ordinary = (async () => {
    for (let at = 0; performance.now() < beginMs + SLOW_MS; at++) {
      sendOrdinary(host, at);
      await until((at + 1) * 1_000 / ORDINARY_PER_S);
    }
  })();
  if (TROUBLE) note(`${host.front} runs at ${SLOW_SHARE.toFixed(3)} of a core from now on`);
  const slow = TROUBLE ? slowDown(host.child, beginMs + SLOW_MS) : undefined;
  await until(OPEN_FROM_MS);
  const channels = [];
  for (let at = 0; at < CHANNELS; at++) {
    channels.push(openChannel(host, at));
    await sleep(CHANNEL_GAP_MS);
  }
  await ordinary;
  await slow;
  note(`the slow-down is over; ${channels.filter((each) => each.isKept && !each.isClosed).length} channels of ${CHANNELS} are kept`);
  await until(TERM_MS);
  const termMs = performance.now();
  note("SIGTERM");
  host.child.kill("SIGTERM");
  const kill = setTimeout(() => host.child.kill("SIGKILL"), GRACE_MS);
  await until(SEND_MS);
  const used = channels.filter((each) => each.isKept && !each.isClosed);
  note(`${used.length} clients send the next request on their channels, ${((performance.now() - termMs) / 1_000).toFixed(2)} s after SIGTERM`);
  for (const each of used) each.send();
  const { code: exitCode, signal, atMs } = await host.ended;
  clearTimeout(kill);
  note(`the machine's process ended ${((atMs - termMs) / 1_000).toFixed(2)} s after SIGTERM with ${exitCode ?? signal}`);
  await sleep(500);
  let lost = 0;
  for (const each of used) {
    const run = runs.get(each.id);
    const tookMs = (each.endMs ?? performance.now()) - each.sentMs;
    const isLost = run !== undefined && each.isClosed && !each.isComplete && tookMs < DEADLINE_MS - 500;
    if (isLost) lost++;
    const events = [...each.text.matchAll(/^id: \d+$/gm)].length;
    note(`${each.id}: ${run === undefined ? "not run" : `ran at ${run.id}`}, status ${each.status}, ${events} events, ${each.isComplete ? "whole" : each.isClosed ? "closed without its end" : "open"} after ${(tookMs / 1_000).toFixed(2)} s${isLost ? ": LOST" : ""}`);
    each.leave();
  }
  note(`${used.length} late requests, ${lost} passed on to an engine and closed without a complete answer`);
  code = lost > 0 ? 1 : used.length === 0 ? 2 : 0;
} catch (err) {
  note(`could not run: ${err.stack}`);
} finally {
  for (const stop of stops) await stop();
  for (const child of children) child.kill("SIGKILL");
  store.end();
  writeFileSync(join(FOLDER, "record.txt"), `${record.join("\n")}\n`);
}
process.exit(code);
