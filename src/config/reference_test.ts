import { deepStrictEqual } from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { createReference } from "./reference.ts";

const PAGE = new URL("../../docs/CONFIGURATION.md", import.meta.url);

/** Table rows without the padding and rulers that the formatter adds. */
function getRows(markdown: string): readonly string[] {
  return markdown.split("\n")
    .filter((line) => line.startsWith("|") || line.startsWith("### "))
    .filter((line) => !/^[|\s-]+$/.test(line))
    .map((line) => line.replaceAll(/\s+/g, " ").trim());
}

test("the page has every key with its limits, unit and default", () => {
  const page = readFileSync(PAGE, "utf8");
  const reference = page.slice(page.indexOf("## Reference"));
  deepStrictEqual(getRows(reference), getRows(createReference()));
});
