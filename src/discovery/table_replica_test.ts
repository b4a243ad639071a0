import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { createTableReplica } from "./table_replica.ts";

const row = (key: string, version: number) => ({
  key,
  version,
  value: `${key}@${version}`,
});

test("an older copy never replaces a newer one", () => {
  // An operator revokes an API key while host B is partitioned from the
  // platform and still has the previous configuration. Hosts A and B then
  // exchange their copies. If A accepted B's copy, the revoked key would work
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

test("changed rows are added, and removed rows are deleted", () => {
  const table = createTableReplica<string>();
  table.replace({ version: 5, rows: [row("a", 1), row("b", 2)] });
  strictEqual(
    table.apply({ version: 7, changed: [row("c", 6)], removed: ["a"] }),
    true,
  );
  deepStrictEqual([...table.getRows().keys()], ["b", "c"]);
});

test("a snapshot with unchanged rows only raises the version", () => {
  const table = createTableReplica<string>();
  table.replace({ version: 5, rows: [row("a", 1)] });
  strictEqual(table.replace({ version: 9, rows: [row("a", 1)] }), false);
  strictEqual(table.getPosition().version, 9);
  strictEqual(table.getChangedPosition().version, 5);
});

test("a snapshot of a later era replaces a higher version, not the other way round", () => {
  // Guards against a host that ignores a restored platform until its version
  // number exceeds the one from before the restore.
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

test("rows of different eras with the same version are different rows", () => {
  // Guards against a replica that keeps a row which the restore has discarded.
  const table = createTableReplica<string>();
  table.replace({ era: 1, version: 20, rows: [row("a", 19)] });
  const again = { key: "a", version: 19, value: "written again" };
  strictEqual(table.replace({ era: 2, version: 20, rows: [again] }), true);
  strictEqual(table.getRows().get("a")?.value, "written again");
});

test("without eras only versions are compared, and a known era is kept", () => {
  const table = createTableReplica<string>();
  table.replace({ version: 20, rows: [row("a", 19)] });
  strictEqual(table.replace({ version: 12, rows: [] }), false);
  table.apply({ era: 3, version: 21, changed: [row("b", 21)], removed: [] });
  deepStrictEqual(table.getPosition(), { era: 3, version: 21 });
  table.apply({ version: 22, changed: [row("c", 22)], removed: [] });
  deepStrictEqual(table.getPosition(), { era: 3, version: 22 });
});
