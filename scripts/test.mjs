// Runs all tests with Node's test runner; none of them needs files from outside
// the repository. The list of tests is derived from the source files, so that a
// compiled test whose source file was deleted does not run. Only the tests that
// KNOWN-RED.txt lists by their exact names are skipped, and each is printed.
import { spawnSync } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";

function findTests(sourceDir, outputDir) {
  return readdirSync(sourceDir, { recursive: true })
    .filter((name) => name.endsWith("_test.ts"))
    .map((name) => join(outputDir, name.replace(/\.ts$/, ".js")))
    .sort();
}

/** Returns the names in lines of the form `test "NAME" in FILE: SYMPTOM`. */
function readKnownFailures() {
  const text = readFileSync("KNOWN-RED.txt", "utf8");
  return [...text.matchAll(/^test "(.+?)" in \S+:/gm)].map(([, name]) => name);
}

/**
 * Returns a pattern that matches all test names except the skipped ones and
 * `<root>`, the test that the runner wraps around each file. If `<root>`
 * matched, the runner would run all tests of the file.
 */
function createNamePattern(skippedNames) {
  const escaped = skippedNames
    .map((name) => name.replace(/[.*+?^${}()|[\]\\]/g, "\\$&"));
  return `^(?!(?:<root>|${escaped.join("|")})$).`;
}

const skipped = readKnownFailures();
for (const name of skipped) console.log(`Skipped, known to fail: "${name}"`);
const namePattern = skipped.length === 0
  ? []
  : [`--test-name-pattern=${createNamePattern(skipped)}`];

const tests = [
  ...findTests("src", "dist"),
  ...findTests("platform", "target/platform"),
];
const result = spawnSync(
  process.execPath,
  ["--test", "--test-reporter=spec", ...namePattern, ...tests],
  { stdio: "inherit" },
);
process.exit(result.status ?? 1);
