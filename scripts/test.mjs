// Runs every test with Node's own runner, without the given documents. The list
// comes from the sources: a compiled test whose source is gone must not run.
// Tests that KNOWN-RED.txt names are passed over, by their exact names, and
// printed; nothing else is.
import { spawnSync } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

function findTests(sources, built) {
  return readdirSync(sources, { recursive: true })
    .filter((name) => name.endsWith("_test.ts"))
    .map((name) => join(built, name.replace(/\.ts$/, ".js")))
    .sort();
}

/** Names in lines of the form: test "NAME" in FILE: what was seen. */
function findKnownRed() {
  const text = readFileSync("KNOWN-RED.txt", "utf8");
  return [...text.matchAll(/^test "(.+?)" in \S+:/gm)].map(([, name]) => name);
}

/**
 * Matches every name but those given and `<root>`, the runner's own test around
 * each file: where that matches, all tests of the file run.
 */
function createNamePattern(passedOver) {
  const escaped = passedOver
    .map((name) => name.replace(/[.*+?^${}()|[\]\\]/g, "\\$&"));
  return `^(?!(?:<root>|${escaped.join("|")})$).`;
}

const knownRed = findKnownRed();
for (const name of knownRed) console.log(`Known red, passed over: "${name}"`);
const namePattern = knownRed.length === 0
  ? []
  : [`--test-name-pattern=${createNamePattern(knownRed)}`];

const tests = [
  ...findTests("src", "dist"),
  ...findTests("platform", "target/platform"),
];
const res = spawnSync(
  process.execPath,
  ["--test", "--test-reporter=spec", ...namePattern, ...tests],
  { stdio: "inherit" },
);
process.exit(res.status ?? 1);
