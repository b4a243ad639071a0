// Set-up for a fresh clone: installs from the lock file when the installed tree
// does not match it, then builds. A second call costs only the incremental build.
import { spawnSync } from "node:child_process";
import { createHash } from "node:crypto";
import { existsSync, readFileSync, writeFileSync } from "node:fs";

const stamp = "node_modules/.azurestile-lock-digest";
const digest = createHash("sha256").update(readFileSync("package-lock.json"))
  .digest("hex");

function run(command, args) {
  const res = spawnSync(command, args, { stdio: "inherit" });
  if (res.status !== 0) process.exit(res.status ?? 1);
}

if (!existsSync(stamp) || readFileSync(stamp, "utf8") !== digest) {
  run("npm", ["ci", "--no-audit", "--no-fund", "--loglevel=error"]);
  writeFileSync(stamp, digest);
}
run("node_modules/.bin/tsc", ["-p", "tsconfig.json"]);
run("npm", ["run", "--silent", "build:platform"]);
