import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { createTableReplica } from "./table_replica.ts";

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
  const table = createTableReplica<string>();
  table.replace({ version: 20, rows: [row("config", 19)] });
  strictEqual(table.replace({ version: 12, rows: [row("config", 11)] }), false);
  strictEqual(
    table.apply({ version: 15, changed: [row("config", 14)], removed: [] }),
    false,
  );
  strictEqual(table.getRows().get("config")?.value, "config@19");
});

test("changes add to the copy, and what is removed is gone", () => {
  const table = createTableReplica<string>();
  table.replace({ version: 5, rows: [row("a", 1), row("b", 2)] });
  strictEqual(
    table.apply({ version: 7, changed: [row("c", 6)], removed: ["a"] }),
    true,
  );
  deepStrictEqual([...table.getRows().keys()], ["b", "c"]);
});

test("a copy that brings nothing new only raises the version", () => {
  const table = createTableReplica<string>();
  table.replace({ version: 5, rows: [row("a", 1)] });
  strictEqual(table.replace({ version: 9, rows: [row("a", 1)] }), false);
  strictEqual(table.getPosition().version, 9);
  strictEqual(table.getChangedPosition().version, 5);
});

test("a copy of the next era replaces one of higher versions, and no other way round", () => {
  // Guards against a host that waits until a store back from a copy has come by.
  const table = createTableReplica<string>();
  table.replace({ era: 1, version: 20, rows: [row("a", 7), row("b", 19)] });
  strictEqual(
    table.replace({ era: 2, version: 15, rows: [row("a", 7)] }),
    true,
  );
  deepStrictEqual([...table.getRows().keys()], ["a"]);
  deepStrictEqual(table.getSnapshot(), {
    era: 2,
    version: 15,
    rows: [row("a", 7)],
  });
  strictEqual(
    table.replace({ era: 1, version: 99, rows: [row("b", 98)] }),
    false,
  );
  strictEqual(
    table.apply({ era: 1, version: 99, changed: [row("b", 98)], removed: [] }),
    false,
  );
});

test("a row of the next era with the version of another one is not taken for it", () => {
  // Guards against a copy that keeps what the store has lost.
  const table = createTableReplica<string>();
  table.replace({ era: 1, version: 20, rows: [row("a", 19)] });
  const again = { key: "a", version: 19, value: "written again" };
  strictEqual(table.replace({ era: 2, version: 20, rows: [again] }), true);
  strictEqual(table.getRows().get("a")?.value, "written again");
});

test("where no era is named, versions alone count, and a known era stays", () => {
  const table = createTableReplica<string>();
  table.replace({ version: 20, rows: [row("a", 19)] });
  strictEqual(table.replace({ version: 12, rows: [] }), false);
  table.apply({ era: 3, version: 21, changed: [row("b", 21)], removed: [] });
  deepStrictEqual(table.getPosition(), { era: 3, version: 21 });
  table.apply({ version: 22, changed: [row("c", 22)], removed: [] });
  deepStrictEqual(table.getPosition(), { era: 3, version: 22 });
});
