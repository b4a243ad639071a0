import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import type { Fact } from "../membership/mod.ts";
import {
  createTableDistribution,
  type TableName,
  type TableOutage,
} from "./table_distribution.ts";

function createHost(peerAddress: string, clock = createManualClock(5_000)) {
  const versions: Record<TableName, number> = { config: 0, upstreams: 0 };
  const platform: { era: number | undefined } = { era: undefined };
  const sent: Fact[] = [];
  const fetched: string[] = [];
  const outages: TableOutage[] = [];
  const unreadable: string[] = [];
  const reports = createTableDistribution({
    clock,
    peerAddress,
    incarnation: 1,
    broadcast: (fact) => sent.push(fact),
    gossip: (fact) => sent.push(fact),
    countHosts: () => 9,
    getPosition: (table) => ({ ...platform, version: versions[table] }),
    getChangedPosition: (table) => ({ ...platform, version: versions[table] }),
    onUnreadable: (key) => unreadable.push(key),
    onOutageEnded: (outage) => outages.push(outage),
    onNewer: (table, peer) => fetched.push(`${table} from ${peer}`),
  });
  return {
    clock,
    reports,
    versions,
    platform,
    sent,
    fetched,
    outages,
    unreadable,
  };
}

test("a host that lacks a version fetches it from the reader that reports it", () => {
  // Guards against a host that keeps a revoked API key valid because the
  // platform rejects the host's own reads.
  const reader = createHost("a:1");
  const other = createHost("b:1");
  reader.versions.config = 12;
  reader.reports.recordRead("config", true);
  other.reports.receive(reader.sent[0]!);
  deepStrictEqual(other.fetched, ["config from a:1"]);
  strictEqual(other.reports.getUnconfirmedMs("config"), 0);
});

test("hosts that know another report format ignore this one", () => {
  // During a rolling upgrade, hosts with both report formats are running. The
  // prefix below belongs to a format with one age for all tables. A host that
  // parses such a report as one per table, or the other way round, throws on
  // each datagram.
  const reader = createHost("a:1");
  reader.reports.recordRead("config", true);
  strictEqual(reader.sent[0]!.key.startsWith("reader/"), false);
});

test("a read of one table confirms that table only", () => {
  // Guards against callers that are refused on a route added seconds ago. A
  // reader can read the upstreams but not the configuration. If its reads
  // counted for both tables, the other hosts would wait for its reports instead
  // of reading the configuration themselves.
  const reader = createHost("a:1");
  const other = createHost("b:1", reader.clock);
  reader.reports.recordRead("config", false);
  reader.clock.advance(2_500);
  reader.reports.recordRead("upstreams", true);
  other.reports.receive(reader.sent.at(-1)!);
  strictEqual(other.reports.getUnconfirmedMs("upstreams"), 0);
  strictEqual(other.reports.getUnconfirmedMs("config"), 2_500);
  strictEqual(reader.reports.getUnconfirmedMs("config"), 2_500);
});

test("a host reports its own reads, not those reported by others", () => {
  // The platform is unavailable, and hosts report their failed reads. If they
  // also reported a reader's last successful read, it would look newer by the
  // network delay at each hop, and no host would start to read by itself.
  const reader = createHost("a:1");
  const middle = createHost("b:1", reader.clock);
  const last = createHost("c:1", reader.clock);
  reader.reports.recordRead("config", false);
  middle.reports.receive(reader.sent[0]!);
  reader.clock.advance(1_000);
  middle.reports.recordFailure("config");
  last.reports.receive(middle.sent[0]!);
  strictEqual(middle.reports.getUnconfirmedMs("config"), 1_000);
  strictEqual(last.reports.getUnconfirmedMs("config"), Infinity);
});

test("a reader that can read only one table is excluded for the other", () => {
  const reader = createHost("a:1");
  const other = createHost("b:1", reader.clock);
  reader.reports.recordFailure("config");
  reader.reports.recordRead("upstreams", false);
  for (const fact of reader.sent) other.reports.receive(fact);
  strictEqual(other.reports.hasRecentFailure("config", "a:1"), true);
  strictEqual(other.reports.hasRecentFailure("upstreams", "a:1"), false);
});

test("a change is reported at once, a read without a change at intervals", () => {
  const { reports, clock, sent } = createHost("a:1");
  reports.recordRead("config", false);
  reports.recordRead("config", false);
  strictEqual(sent.length, 1);
  reports.recordRead("config", true);
  strictEqual(sent.length, 2);
  clock.advance(700);
  reports.recordRead("config", false);
  strictEqual(sent.length, 3);
  deepStrictEqual(sent.map((fact) => fact.version), [1, 2, 3]);
});

test("a host excludes itself for as long as the other hosts exclude it", () => {
  // The platform rejects a reader's reads again and again. The reader reports
  // only the first failure; once the other hosts stop excluding it, they rely
  // on it to read the table.
  const reader = createHost("a:1");
  const other = createHost("b:1", reader.clock);
  for (let at = 0; at < 20; at++) {
    const sent = reader.sent.length;
    reader.reports.recordFailure("config");
    for (const fact of reader.sent.slice(sent)) other.reports.receive(fact);
    strictEqual(other.reports.hasRecentFailure("config", "a:1"), true);
    reader.clock.advance(550);
    strictEqual(
      reader.reports.hasRecentFailure("config", "a:1"),
      other.reports.hasRecentFailure("config", "a:1"),
    );
  }
  strictEqual(reader.sent.length, 2);
});

test("a reader whose read failed reports that, and is selected again later", () => {
  const reader = createHost("a:1");
  const other = createHost("b:1");
  reader.reports.recordFailure("config");
  reader.reports.recordFailure("config");
  strictEqual(reader.sent.length, 1);
  other.reports.receive(reader.sent[0]!);
  strictEqual(other.reports.hasRecentFailure("config", "a:1"), true);
  reader.reports.recordRead("config", false);
  other.reports.receive(reader.sent[1]!);
  strictEqual(other.reports.hasRecentFailure("config", "a:1"), false);
});

test("a lower version of a later era is fetched, a higher one of an earlier era is not", () => {
  // Guards against hosts that compare version numbers of different eras.
  const reader = createHost("a:1");
  const other = createHost("b:1");
  Object.assign(reader.versions, { config: 12, upstreams: 12 });
  Object.assign(other.versions, { config: 40, upstreams: 40 });
  reader.platform.era = 2;
  other.platform.era = 1;
  reader.reports.recordRead("config", true);
  other.reports.recordRead("config", true);
  other.reports.receive(reader.sent[0]!);
  reader.reports.receive(other.sent[0]!);
  deepStrictEqual(other.fetched, ["config from a:1", "upstreams from a:1"]);
  deepStrictEqual(reader.fetched, []);
});

/**
 * Hosts of which the first reads a table, the others fail, and all hear of it;
 * then nobody reads it for a while.
 */
function createFailedHosts(count: number, { ms }: { readonly ms: number }) {
  const clock = createManualClock(5_000);
  const reader = createHost("a:1", clock);
  const failed = Array.from(
    { length: count },
    (_, at) => createHost(`f${at}:1`, clock),
  );
  const all = [reader, ...failed];
  const spread = (from: ReturnType<typeof createHost>) => {
    const others = all.filter((each) => each !== from);
    for (const each of others) each.reports.receive(from.sent.at(-1)!);
  };
  reader.reports.recordRead("upstreams", true);
  spread(reader);
  clock.advance(100);
  for (const each of failed) {
    each.reports.recordFailure("upstreams");
    spread(each);
  }
  clock.advance(ms - 100);
  reader.reports.recordRead("upstreams", false);
  spread(reader);
  return { clock, all };
}

test("an outage of the platform ends with the first read of any host", () => {
  const { clock, all } = createFailedHosts(2, { ms: 4_000 });
  for (const { reports, outages } of all) {
    deepStrictEqual(outages, [
      { table: "upstreams", lastedMs: 4_000, failedHosts: 2 },
    ]);
    strictEqual(reports.getOutageEndMs("upstreams"), clock.monotonicMs());
    strictEqual(reports.getOutageEndMs("config"), -Infinity);
  }
});

test("neither one host's failed reads nor a short time without reads is an outage", () => {
  // Guards against entries of removed upstreams that are kept for such a failure.
  for (const [failed, ms] of [[1, 4_000], [2, 2_000], [0, 9_000]] as const) {
    for (const { outages } of createFailedHosts(failed, { ms }).all) {
      deepStrictEqual(outages, []);
    }
  }
});
