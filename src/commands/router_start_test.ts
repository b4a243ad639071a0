import { deepStrictEqual, match, ok } from "node:assert";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { getDigest } from "../core/mod.ts";

const PROGRAM = fileURLToPath(
  new URL("../bin/azurestile_router.js", import.meta.url),
);

/** Codes of messages that the tests wait for. */
const STARTED = 3001;
const RECEIVED = 3037;
const WAITING = 3038;
const START_STOPPED = 3039;

function createSettings(ip: string): string {
  return `host = "entry-1"
data_centre = "lagos-ikeja"
public_address = "${ip}:8001"
peer_address = "${ip}:8051"
platform_address = "${ip}:9"
fleet_secret = "secret-of-the-tested-fleet"
log_level = "info"

[[operators]]
name = "ada"
key_digest = "${getDigest("key")}"
`;
}

/** Starts the program as a process that ends with the test. */
function startRouterProcess(ip: string) {
  const folder = mkdtempSync(join(tmpdir(), "azurestile-"));
  const file = join(folder, "router.toml");
  writeFileSync(file, createSettings(ip));
  const child = spawn(process.execPath, [PROGRAM, "--settings", file], {
    stdio: ["ignore", "pipe", "ignore"],
  });
  const codes: unknown[] = [];
  const texts: string[] = [];
  const output = createInterface(child.stdout);
  output.on("line", (line) => {
    codes.push((JSON.parse(line) as { code: unknown }).code);
    texts.push(line);
  });
  const end = once(child, "close");
  return {
    child,
    codes,
    texts,
    end,
    async untilCode(code: number) {
      while (!codes.includes(code)) {
        const seen = await Promise.race([once(output, "line"), end]);
        if (seen.length === 2) throw new Error(`Ended: ${texts.join("\n")}`);
      }
    },
    async [Symbol.asyncDispose]() {
      child.kill("SIGKILL");
      await end;
      rmSync(folder, { recursive: true });
    },
  };
}

const ip = `127.${1 + process.pid % 254}.251.1`;

test(
  "an address that is in use for a while does not end a router that starts, nor does SIGHUP",
  { timeout: 15_000 },
  async () => {
    const held = createServer().unref().listen(8_001, ip);
    await once(held, "listening");
    await using router = startRouterProcess(ip);
    await router.untilCode(WAITING);
    match(router.texts.at(-1)!, new RegExp(`TCP ${ip}:8001`));
    router.child.kill("SIGHUP");
    await router.untilCode(RECEIVED);
    held.close();
    await router.untilCode(STARTED);
  },
);

test(
  "SIGTERM ends a router that waits for an address",
  { timeout: 15_000 },
  async () => {
    const held = createServer().unref().listen(8_051, ip);
    await once(held, "listening");
    await using router = startRouterProcess(ip);
    await router.untilCode(WAITING);
    router.child.kill("SIGTERM");
    deepStrictEqual(await router.end, [0, null]);
    ok(router.codes.includes(START_STOPPED));
    held.close();
  },
);
