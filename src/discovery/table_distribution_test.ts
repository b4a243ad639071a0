import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { createManualClock } from "../core/mod.ts";
import type { Fact } from "../membership/mod.ts";
import {
  createTableDistribution,
  type TableName,
} from "./table_distribution.ts";

function createHost(peerAddress: string, clock = createManualClock(5_000)) {
  const versions: Record<TableName, number> = { config: 0, upstreams: 0 };
  const platform: { era: number | undefined } = { era: undefined };
  const sent: Fact[] = [];
  const fetched: string[] = [];
  const reports = createTableDistribution({
    clock,
    peerAddress,
    incarnation: 1,
    pushFact: (fact) => sent.push(fact),
    spreadFact: (fact) => sent.push(fact),
    countHosts: () => 9,
    getPosition: (table) => ({ ...platform, version: versions[table] }),
    getChangedPosition: (table) => ({ ...platform, version: versions[table] }),
    fetch: (table, peer) => fetched.push(`${table} from ${peer}`),
  });
  return { clock, reports, versions, platform, sent, fetched };
}

test("a host that lacks a version fetches it from the reader that has it", () => {
  // The platform turns this host away while a key is taken from a caller.
  const reader = createHost("a:1");
  const other = createHost("b:1");
  reader.versions.config = 12;
  reader.reports.recordRead("config", true);
  other.reports.receive(reader.sent[0]!);
  deepStrictEqual(other.fetched, ["config from a:1"]);
  strictEqual(other.reports.getUnconfirmedMs("config"), 0);
});

test("hosts that know another form of reports pass this one by", () => {
  // A fleet is replaced host by host. Reports of one age for all tables bore the
  // prefix below; a host that reads such a report as one by table, or the other
  // way round, fails at each datagram.
  const reader = createHost("a:1");
  reader.reports.recordRead("config", true);
  strictEqual(reader.sent[0]!.key.startsWith("reader/"), false);
});

test("contact with one table confirms that table alone", () => {
  // Callers are refused on a route that was added seconds ago. A reader hears of
  // the upstreams and not of the configuration. Were its contact to count for
  // both, the other hosts would wait for it instead of reading themselves.
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

test("a host tells of its own readings, not of what it heard", () => {
  // The platform is away, and hosts tell one another that it turned them away. A
  // reader's last contact, passed on from host to host, would seem fresher by the
  // way's delay each time, and no host would begin to read by itself.
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

test("a reader that may read one table alone is passed over for the other", () => {
  const reader = createHost("a:1");
  const other = createHost("b:1", reader.clock);
  reader.reports.recordFailure("config");
  reader.reports.recordRead("upstreams", false);
  for (const fact of reader.sent) other.reports.receive(fact);
  strictEqual(other.reports.hasRecentFailure("config", "a:1"), true);
  strictEqual(other.reports.hasRecentFailure("upstreams", "a:1"), false);
});

test("a change is told at once, a confirmation once in a while", () => {
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

test("a host passes itself over for as long as the others do", () => {
  // The platform turns a reader away again and again. It tells the others once;
  // when their time for it is over, they leave the table to it.
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

test("a reader that was turned away says so, and is asked again later", () => {
  const reader = createHost("a:1");
  const other = createHost("b:1");
  reader.reports.recordFailure("config");
  reader.reports.recordFailure("config");
  strictEqual(reader.sent.length, 1);
  other.reports.receive(reader.sent[0]!);
  strictEqual(other.reports.hasRecentFailure("config", "a:1"), true);
  strictEqual(other.reports.hadOutageWithin(1_000), true);
  reader.reports.recordRead("config", false);
  other.reports.receive(reader.sent[1]!);
  strictEqual(other.reports.hasRecentFailure("config", "a:1"), false);
});

test("a reader of the next era is asked for a lower version, one of an earlier era never", () => {
  // Guards against hosts that take the copy with the higher number for the newer one.
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
