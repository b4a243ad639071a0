import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { createSharedTable } from "./shared_table.ts";

const row = (key: string, version: number) => ({
  key,
  version,
  value: `${key}@${version}`,
});

test("an older copy never replaces a newer one", () => {
  // An operator takes a key away; host B is cut off from the platform and
  // still has the configuration from before. It meets host A, which has the
  // new one, and each passes its copy on. If A took B's, the key would work
  // again at A.
  const table = createSharedTable<string>();
  table.replace({ version: 20, rows: [row("config", 19)] });
  strictEqual(table.replace({ version: 12, rows: [row("config", 11)] }), false);
  strictEqual(
    table.apply({ version: 15, changed: [row("config", 14)], removed: [] }),
    false,
  );
  strictEqual(table.getRows().get("config")?.value, "config@19");
});

test("changes add to the copy, and what is removed is gone", () => {
  const table = createSharedTable<string>();
  table.replace({ version: 5, rows: [row("a", 1), row("b", 2)] });
  strictEqual(
    table.apply({ version: 7, changed: [row("c", 6)], removed: ["a"] }),
    true,
  );
  deepStrictEqual([...table.getRows().keys()], ["b", "c"]);
});

test("a copy that brings nothing new only raises the version", () => {
  const table = createSharedTable<string>();
  table.replace({ version: 5, rows: [row("a", 1)] });
  strictEqual(table.replace({ version: 9, rows: [row("a", 1)] }), false);
  strictEqual(table.getVersion(), 9);
  strictEqual(table.getChangedVersion(), 5);
});
