// Set-up for a fresh clone: installs the packages of the lock file if those
// installed come from another lock file, then builds. When nothing has changed,
// only the incremental build runs.
import { spawnSync } from "node:child_process";
import { createHash } from "node:crypto";
import { existsSync, readFileSync, writeFileSync } from "node:fs";

const installedDigestFile = "node_modules/.azurestile-lock-digest";
const digest = createHash("sha256").update(readFileSync("package-lock.json"))
  .digest("hex");

function run(command, args) {
  const result = spawnSync(command, args, { stdio: "inherit" });
  if (result.status !== 0) process.exit(result.status ?? 1);
}

if (
  !existsSync(installedDigestFile) ||
  readFileSync(installedDigestFile, "utf8") !== digest
) {
  run("npm", ["ci", "--no-audit", "--no-fund", "--loglevel=error"]);
  writeFileSync(installedDigestFile, digest);
}
run("node_modules/.bin/tsc", ["-p", "tsconfig.json"]);
run("npm", ["run", "--silent", "build:platform"]);
