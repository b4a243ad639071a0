import { deepStrictEqual, ok } from "node:assert/strict";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import { test } from "node:test";
import { fileURLToPath } from "node:url";
import { formatMessage, type MessageName, messages } from "./messages.ts";

const SOURCES = fileURLToPath(new URL("../../src", import.meta.url));

/** The first digit of the codes of each category. */
const firstDigits = {
  "caller-error": 1,
  "operator-error": 2,
  log: 3,
} as const;

/** The text of all sources except tests and the catalogue itself. */
function readSources(): string {
  return readdirSync(SOURCES, { recursive: true, encoding: "utf8" })
    .filter((name) => name.endsWith(".ts") && !name.endsWith("_test.ts"))
    .filter((name) => !name.endsWith("messages.ts"))
    .map((name) => readFileSync(join(SOURCES, name), "utf8"))
    .join("\n");
}

test("every code is unique and starts with the digit of its category", () => {
  const names = new Map<number, string>();
  for (const [name, { code, category }] of Object.entries(messages)) {
    deepStrictEqual(names.get(code), undefined, `${name} has a taken code`);
    names.set(code, name);
    deepStrictEqual(Math.floor(code / 1000), firstDigits[category], name);
  }
});

test("every message is used in a source", () => {
  const sources = readSources();
  const unused = Object.keys(messages).filter((name) =>
    !sources.includes(`"${name}"`)
  );
  deepStrictEqual(unused, []);
});

test("arguments replace the placeholders of the text", () => {
  const name: MessageName = "badHeader";
  const text = formatMessage(name, ["a", "b", "c"]);
  deepStrictEqual(text, 'The header "a" has the value "b", expected c');
  ok(Object.values(messages).every((each) => !each.text.endsWith(".")));
});
