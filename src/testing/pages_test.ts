/**
 * Tests that the documentation names the folders, files and metrics that exist.
 *
 * @module
 */

import { deepStrictEqual } from "node:assert/strict";
import { existsSync, readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));

function read(file: string): string {
  return readFileSync(join(ROOT, file), "utf8");
}

/** Returns the names of the project's metrics in a text. */
function getMetrics(text: string): readonly string[] {
  const names = text.match(/azurestile_[a-z0-9_]+/g) ?? [];
  return [...new Set(names)];
}

test("the contributors' page lists every folder of the sources", () => {
  const page = read("CONTRIBUTING.md");
  const folders = readdirSync(join(ROOT, "src"), { withFileTypes: true })
    .filter((entry) => entry.isDirectory() && entry.name !== "generated")
    .map((entry) => entry.name);
  const missing = folders.filter((name) => !page.includes(`| \`src/${name}\``));
  deepStrictEqual(missing, []);
});

test("each source file that the contributors' page names exists", () => {
  const paths = [...read("CONTRIBUTING.md").matchAll(/`([a-z_/]+\/\w+\.ts)`/g)]
    .map(([, path = ""]) => path.replace(/^src\//, ""));
  const missing = paths.filter((path) => !existsSync(join(ROOT, "src", path)));
  deepStrictEqual(missing, []);
});

test("the operators' page names every metric, and only metrics that exist", () => {
  const sources = ["src/router/metrics.ts", "src/entry/metrics.ts"];
  const declared = sources.flatMap((file) => [
    ...read(file).matchAll(/(?:name: |addGauge\(\s*)"(azurestile_\w+)"/g),
  ]).map(([, name = ""]) => name);
  const named = getMetrics(read("docs/OPERATIONS.md"));
  const slots = ["limit", "in_use", "waiting"]
    .map((key) => `azurestile_slots_${key}`);
  const all = [...declared, ...slots];
  deepStrictEqual(named.filter((name) => !all.includes(name)), []);
  deepStrictEqual(all.filter((name) => !named.includes(name)), []);
});
