// Runs every test with Node's own runner, without the given documents. The list
// comes from the sources: a compiled test whose source is gone must not run.
import { spawnSync } from "node:child_process";
import { readdirSync } from "node:fs";
import { join } from "node:path";

function findTests(sources, built) {
  return readdirSync(sources, { recursive: true })
    .filter((name) => name.endsWith("_test.ts"))
    .map((name) => join(built, name.replace(/\.ts$/, ".js")))
    .sort();
}

const tests = [
  ...findTests("src", "dist"),
  ...findTests("platform", "target/platform"),
];
const res = spawnSync(
  process.execPath,
  ["--test", "--test-reporter=spec", ...tests],
  { stdio: "inherit" },
);
process.exit(res.status ?? 1);
