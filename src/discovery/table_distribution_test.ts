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
  const distribution = createTableDistribution({
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
  return { clock, distribution, versions, platform, sent, fetched };
}

test("a host that lacks a version fetches it from the reader that has it", () => {
  // The platform turns this host away while a key is taken from a caller.
  const reader = createHost("a:1");
  const other = createHost("b:1");
  reader.versions.config = 12;
  reader.distribution.recordRead("config", true);
  other.distribution.receive(reader.sent[0]!);
  deepStrictEqual(other.fetched, ["config from a:1"]);
  strictEqual(other.distribution.getUnconfirmedMs("config"), 0);
});

test("hosts that know another form of reports pass this one by", () => {
  // A fleet is replaced host by host. Reports of one age for all tables bore the
  // prefix below; a host that reads such a report as one by table, or the other
  // way round, fails at each datagram.
  const reader = createHost("a:1");
  reader.distribution.recordRead("config", true);
  strictEqual(reader.sent[0]!.key.startsWith("reader/"), false);
});

test("contact with one table confirms that table alone", () => {
  // Callers are refused on a route that was added seconds ago. A reader hears of
  // the upstreams and not of the configuration. Were its contact to count for
  // both, the other hosts would wait for it instead of reading themselves.
  const reader = createHost("a:1");
  const other = createHost("b:1", reader.clock);
  reader.distribution.recordRead("config", false);
  reader.clock.advance(2_500);
  reader.distribution.recordRead("upstreams", true);
  other.distribution.receive(reader.sent.at(-1)!);
  strictEqual(other.distribution.getUnconfirmedMs("upstreams"), 0);
  strictEqual(other.distribution.getUnconfirmedMs("config"), 2_500);
  strictEqual(reader.distribution.getUnconfirmedMs("config"), 2_500);
});

test("a host tells of its own readings, not of what it heard", () => {
  // The platform is away, and hosts tell one another that it turned them away. A
  // reader's last contact, passed on from host to host, would seem fresher by the
  // way's delay each time, and no host would begin to read by itself.
  const reader = createHost("a:1");
  const middle = createHost("b:1", reader.clock);
  const last = createHost("c:1", reader.clock);
  reader.distribution.recordRead("config", false);
  middle.distribution.receive(reader.sent[0]!);
  reader.clock.advance(1_000);
  middle.distribution.recordFailure("config");
  last.distribution.receive(middle.sent[0]!);
  strictEqual(middle.distribution.getUnconfirmedMs("config"), 1_000);
  strictEqual(last.distribution.getUnconfirmedMs("config"), Infinity);
});

test("a reader that may read one table alone is passed over for the other", () => {
  const reader = createHost("a:1");
  const other = createHost("b:1", reader.clock);
  reader.distribution.recordFailure("config");
  reader.distribution.recordRead("upstreams", false);
  for (const fact of reader.sent) other.distribution.receive(fact);
  strictEqual(other.distribution.hasRecentFailure("config", "a:1"), true);
  strictEqual(other.distribution.hasRecentFailure("upstreams", "a:1"), false);
});

test("a change is told at once, a confirmation once in a while", () => {
  const { distribution, clock, sent } = createHost("a:1");
  distribution.recordRead("config", false);
  distribution.recordRead("config", false);
  strictEqual(sent.length, 1);
  distribution.recordRead("config", true);
  strictEqual(sent.length, 2);
  clock.advance(700);
  distribution.recordRead("config", false);
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
    reader.distribution.recordFailure("config");
    for (const fact of reader.sent.slice(sent)) {
      other.distribution.receive(fact);
    }
    strictEqual(other.distribution.hasRecentFailure("config", "a:1"), true);
    reader.clock.advance(550);
    strictEqual(
      reader.distribution.hasRecentFailure("config", "a:1"),
      other.distribution.hasRecentFailure("config", "a:1"),
    );
  }
  strictEqual(reader.sent.length, 2);
});

test("a reader that was turned away says so, and is asked again later", () => {
  const reader = createHost("a:1");
  const other = createHost("b:1");
  reader.distribution.recordFailure("config");
  reader.distribution.recordFailure("config");
  strictEqual(reader.sent.length, 1);
  other.distribution.receive(reader.sent[0]!);
  strictEqual(other.distribution.hasRecentFailure("config", "a:1"), true);
  strictEqual(other.distribution.hadOutageWithin(1_000), true);
  reader.distribution.recordRead("config", false);
  other.distribution.receive(reader.sent[1]!);
  strictEqual(other.distribution.hasRecentFailure("config", "a:1"), false);
});

test("a reader of the next era is asked for a lower version, one of an earlier era never", () => {
  // Guards against hosts that take the copy with the higher number for the newer one.
  const reader = createHost("a:1");
  const other = createHost("b:1");
  Object.assign(reader.versions, { config: 12, upstreams: 12 });
  Object.assign(other.versions, { config: 40, upstreams: 40 });
  reader.platform.era = 2;
  other.platform.era = 1;
  reader.distribution.recordRead("config", true);
  other.distribution.recordRead("config", true);
  other.distribution.receive(reader.sent[0]!);
  reader.distribution.receive(other.sent[0]!);
  deepStrictEqual(other.fetched, ["config from a:1", "upstreams from a:1"]);
  deepStrictEqual(reader.fetched, []);
});
