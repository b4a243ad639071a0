import { deepStrictEqual, strictEqual, throws } from "node:assert";
import { test } from "node:test";
import fc from "fast-check";
import { createManualClock } from "../core/mod.ts";
import {
  createRoutingConfig,
  createUpstreamEntry,
} from "../testing/routing_fixture.ts";
import { decodeTableCopy, tryDecodeReport } from "./table_copies.ts";
import { createTableDistribution } from "./table_distribution.ts";

const entry = createUpstreamEntry();
const sound = { key: "i-1", version: 3, value: { ...entry, ofTomorrow: true } };

test("one row that makes no sense in another host's copy keeps no upstream from being used", () => {
  // Guards against a list that is not followed while the row is there.
  fc.assert(fc.property(fc.json({ maxDepth: 5 }), (odd) => {
    const rows = `[${odd},{"key":"o","version":1,"value":${odd}}]`;
    const text = JSON.stringify({ version: 4, rows: [sound, "odd"] })
      .replace('"odd"', () => rows.slice(1, -1));
    const { snapshot, unusableRows } = decodeTableCopy("upstreams", text);
    deepStrictEqual([snapshot.rows, unusableRows], [[sound], 2]);
  }));
});

test("a copy of the configuration that makes no sense is refused whole", () => {
  const config = createRoutingConfig({});
  const row = {
    key: "config",
    version: 2,
    value: { kind: "configuration", config },
  };
  const decode = (value: object) =>
    decodeTableCopy("config", JSON.stringify({ version: 2, rows: [value] }));
  strictEqual(decode(row).snapshot.rows.length, 1);
  for (
    const odd of [{ routes: null }, { problems: undefined }, { teams: [7] }]
  ) {
    const value = { kind: "configuration", config: { ...config, ...odd } };
    throws(() => decode({ ...row, value }));
  }
});

/** Reports with ages and versions as another host's software may write them. */
const report = fc.record({
  peerAddress: fc.oneof(fc.string(), fc.constant("b:1")),
  tables: fc.record({
    config: fc.record({
      version: fc.oneof(fc.double(), fc.integer(), fc.json()),
      readMsAgo: fc.option(fc.oneof(fc.double(), fc.integer(), fc.json())),
    }),
    upstreams: fc.constant({ version: 1 }),
  }),
});

test("no report of another host ends this one or lets it take a table for newer than now", () => {
  // Guards against a process that ends by a fact that all hosts pass on.
  const distribution = createTableDistribution({
    clock: createManualClock(5_000),
    peerAddress: "a:1",
    incarnation: 1,
    broadcast: () => {},
    gossip: () => {},
    countHosts: () => 2,
    getPosition: () => ({ version: 0 }),
    getChangedPosition: () => ({ version: 0 }),
    onOutageEnded: () => {},
    onUnreadable: () => {},
    onNewer: () => {},
  });
  const value = fc.oneof(
    fc.json(),
    fc.string(),
    report.map((each) => JSON.stringify(each)),
  );
  fc.assert(fc.property(value, (text) => {
    distribution.receive({
      key: "table-reader/b:1/1",
      version: 1,
      value: text,
    });
    strictEqual(distribution.getUnconfirmedMs("config") >= 0, true, text);
  }));
});

test("a report that nests deeply says nothing", () => {
  strictEqual(tryDecodeReport("[".repeat(60_000)), undefined);
  const nested = `${"[".repeat(30_000)}${"]".repeat(30_000)}`;
  strictEqual(tryDecodeReport(`{"tables":${nested}}`), undefined);
});
