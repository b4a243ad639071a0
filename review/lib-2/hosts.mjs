/**
 * Entry hosts as separate processes, started with the command of the deploy file.
 */

import { spawn } from "node:child_process";
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { own } from "./children.mjs";

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "../..");

/** A loopback network that hardly any other run uses at the same time. */
export function pickNet() {
  const at = process.pid * 7 + Math.floor(Math.random() * 40_000);
  return `127.${30 + at % 180}.${1 + Math.floor(at / 180) % 250}`;
}

function getCommand() {
  const deploy = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
}

const PORTS = { front: 8783, readiness: 8780, control: 8785, directory: 8789 };

function createSettings(ip, { name, zone, region, seeds, storeAddress, settings }) {
  const values = {
    node_name: name,
    role: "entry",
    machine_class: "edge",
    serves: "edge,control,registry",
    ip,
    zone,
    region,
    "zones.lagos-ikeja": "lagos",
    "zones.abuja-wuse": "abuja",
    "zones.lagos-lekki": "lagos",
    "listen.front": `${ip}:${PORTS.front}`,
    "listen.readiness": `${ip}:${PORTS.readiness}`,
    "listen.control": `${ip}:${PORTS.control}`,
    "listen.directory": `${ip}:${PORTS.directory}`,
    internal_ports: "7400,7415",
    seeds: seeds.map((each) => `${each}:${PORTS.control}`).join(","),
    bootstrap: "true",
    "limits.cpu_share": 0.675,
    "limits.cores": 1,
    "limits.memory_mb": 350,
    "limits.max_fds": 4100,
    "limits.link_mbps": 1000.0,
    heartbeat_ms: 1200,
    contracts: "base,drain,config,cost,retry,recover,engine,stream,tenants,platform",
    "bounds.contact_ms": 4000,
    "bounds.drain_ms": 2500,
    "bounds.grace_s": 8,
    "bounds.loss_slack_ms": 200,
    "bounds.config_apply_ms": 2500,
    "bounds.retry_ratio": 0.2,
    "bounds.retry_window_s": 10,
    "bounds.retry_slack": 58,
    "bounds.ttl_max_s": 5,
    "platform.address": storeAddress,
    "platform.form": "table",
    ...settings,
  };
  return Object.entries(values).map(([key, value]) => `${key}=${value}\n`).join("");
}

/** Starts hosts at `net`.1 and up; `zones` names the zone of each. */
export async function startHosts({ net, zones, storeAddress, settings = {}, logFolder }) {
  const folder = mkdtempSync(join(tmpdir(), "azurestile-review-"));
  const ips = zones.map((_, at) => `${net}.${at + 1}`);
  const hosts = zones.map((zone, at) => {
    const ip = ips[at];
    const path = join(folder, `${at}.conf`);
    const name = `edge-${zone}-${at + 1}`;
    const region = zone.split("-")[0];
    const options = { name, zone, region, seeds: ips.slice(0, 3), storeAddress, settings };
    writeFileSync(path, createSettings(ip, options));
    const host = { ip, front: `${ip}:${PORTS.front}`, path, child: undefined, end: undefined };
    host.start = () => {
      const [program, ...args] = getCommand();
      const child = own(spawn(program, args, {
        cwd: ROOT,
        env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG, AZURESTILE_BOOT: path },
        stdio: ["ignore", "pipe", "pipe"],
      }));
      const log = logFolder === undefined
        ? undefined
        : createWriteStream(join(logFolder, `host-${at + 1}.log`), { flags: "a" });
      for (const output of [child.stdout, child.stderr]) {
        if (log === undefined) output.resume();
        else output.pipe(log, { end: false });
      }
      host.child = child;
      host.exit = undefined;
      host.ended = new Promise((resolve) =>
        child.on("exit", (code, signal) => {
          host.exit = { code, signal, atMs: performance.now() };
          resolve(host.exit);
        })
      );
    };
    host.start();
    return host;
  });
  const stopAll = async () => {
    for (const { child } of hosts) child.kill("SIGKILL");
    await Promise.all(hosts.map((each) => each.ended));
    rmSync(folder, { recursive: true, force: true });
  };
  return { hosts, stopAll };
}

function ask(address, path) {
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const req = request({ host, port, path, agent: false, timeout: 500 }, (res) => {
      res.resume();
      res.on("end", () => resolve(res.statusCode));
      res.on("error", () => resolve(0));
    });
    req.on("timeout", () => req.destroy());
    req.on("error", () => resolve(0));
    req.end();
  });
}

export async function untilReady(hosts, limitMs = 15_000) {
  const endMs = performance.now() + limitMs;
  for (const { ip } of hosts) {
    while (await ask(`${ip}:${PORTS.readiness}`, "/readyz") !== 200) {
      if (performance.now() > endMs) throw new Error("The hosts are not ready");
      await sleep(50);
    }
  }
}
