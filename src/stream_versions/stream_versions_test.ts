import { deepStrictEqual, ok, strictEqual } from "node:assert";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import { createManualClock } from "../core/mod.ts";
import { TableError } from "../discovery/types.ts";
import { createFakeVersionDirectory } from "../testing/fake_version_directory.ts";
import type { Fact } from "../membership/mod.ts";
import {
  createStreamVersions,
  type StreamVersions,
} from "./stream_versions.ts";
import type { FoundVersion } from "./types.ts";

const NAMES = ["a", "b", "c", "d", "e"];

const LONG_MS = 60_000;

const away = new TableError({ kind: "unreachable", reason: "away" });

/**
 * Hosts that reach each other at once, each in a data centre of its own, and have
 * not read the record of versions.
 */
function createFleet() {
  const clock = createManualClock(1_000_000);
  const lost = new Set<string>();
  const cutOff = new Set<string>();
  let served: readonly string[] = [];
  const datagrams: { to: string; facts: readonly Fact[] }[] = [];
  const published: string[] = [];
  const hosts = new Map<string, StreamVersions>();

  function publish(self: string, fact: Fact): void {
    published.push(fact.key);
    for (const [name, host] of hosts) {
      if (name !== self && !lost.has(name)) host.receiveFact(fact);
    }
  }

  for (const self of NAMES) {
    hosts.set(
      self,
      createStreamVersions({
        clock,
        self,
        getHosts: () =>
          NAMES.map((each) => ({ peerAddress: each, dataCentre: each })),
        directory: createFakeVersionDirectory(),
        onRecordFailure: () => {},
        random: () => 0,
        getTableAgeMs: () => 0,
        readTable: Effect.suspend(() => {
          if (cutOff.has(self)) return Effect.fail(away);
          return Effect.sync(() => update(served, [self]));
        }),
        sendFacts(facts, to) {
          datagrams.push({ to, facts });
          if (lost.has(to)) return;
          for (const fact of facts) hosts.get(to)!.receiveDirectFact(fact);
        },
        broadcastFact: (fact) => publish(self, fact),
        gossipFact: () => {},
      }),
    );
  }

  function update(versions: readonly string[], names: readonly string[]): void {
    const rows = versions.map((softwareVersion) => ({
      service: "model",
      softwareVersion,
    }));
    for (const name of names) hosts.get(name)!.updateRows(rows);
  }

  async function settle(): Promise<void> {
    for (let turn = 0; turn < 6; turn++) await new Promise(setImmediate);
  }

  return {
    clock,
    lost,
    cutOff,
    datagrams,
    published,
    settle,
    /** The host relays the first event of a stream. */
    begin(name: string, request: string, version: string) {
      hosts.get(name)!.recordBegun({ service: "model", request, version });
    },
    /** The platform has these versions; all hosts, or those named, read them. */
    update(versions: readonly string[], names: readonly string[] = NAMES) {
      served = versions;
      update(versions, names);
    },
    tick: () => hosts.forEach((each) => each.tick()),
    async find(name: string, request?: string): Promise<FoundVersion> {
      const found = Effect.runPromise(
        hosts.get(name)!.find("model", request),
      );
      await settle();
      clock.advance(200);
      hosts.get(name)!.tick();
      return await found;
    },
  };
}

function getVersion(found: FoundVersion): string {
  return found.kind === "found" ? found.version : found.kind;
}

test("while one version serves, no stream is told or asked for", async () => {
  const fleet = createFleet();
  fleet.update(["v1"]);
  fleet.clock.advance(LONG_MS);
  fleet.begin("a", "r", "v1");
  const found = await fleet.find("b", "r");
  ok(found.kind === "found" && found.confirmedBy === "platform");
  deepStrictEqual(fleet.datagrams, []);
  deepStrictEqual(fleet.published, []);
});

test("any host finds the version of a stream whose first host is lost", async () => {
  const fleet = createFleet();
  fleet.update(["v1", "v1.1"]);
  for (let at = 0; at < 20; at++) {
    fleet.begin("a", `r-${at}`, at % 2 ? "v1" : "v1.1");
  }
  await fleet.settle();
  fleet.lost.add("a");
  for (let at = 0; at < 20; at++) {
    for (const name of ["b", "c", "d", "e"]) {
      const version = getVersion(await fleet.find(name, `r-${at}`));
      strictEqual(version, at % 2 ? "v1" : "v1.1");
    }
  }
});

test("streams that began in one turn share datagrams", async () => {
  const fleet = createFleet();
  fleet.update(["v1", "v1.1"]);
  for (let at = 0; at < 100; at++) {
    fleet.begin("a", `r-${at}`, "v1");
  }
  await fleet.settle();
  strictEqual(fleet.datagrams.length, 4);
});

test("a stream that began before the second version is told when that appears", async () => {
  const fleet = createFleet();
  fleet.update(["v1"]);
  fleet.begin("a", "old", "v1");
  fleet.clock.advance(20_000);
  fleet.begin("a", "new", "v1");
  fleet.clock.advance(15_000);
  fleet.update(["v1", "v1.1"]);
  await fleet.settle();
  fleet.lost.add("a");
  strictEqual(getVersion(await fleet.find("b", "new")), "v1");
  strictEqual(getVersion(await fleet.find("b", "old")), "unknown");
});

test("a host whose table lacks the second version asks once another has named it", async () => {
  const fleet = createFleet();
  fleet.update(["v1"]);
  fleet.clock.advance(LONG_MS);
  fleet.update(["v1", "v1.1"], ["a", "b", "c", "d"]);
  fleet.begin("a", "r", "v1.1");
  await fleet.settle();
  strictEqual(getVersion(await fleet.find("e", "r")), "v1.1");
});

test("a host that is cut off from the table and the others takes no stream up", async () => {
  const fleet = createFleet();
  fleet.update(["v1"]);
  fleet.clock.advance(LONG_MS);
  fleet.tick();
  fleet.cutOff.add("e");
  strictEqual(getVersion(await fleet.find("e", "r")), "v1");
  for (const name of ["a", "b", "c", "d"]) fleet.lost.add(name);
  strictEqual(getVersion(await fleet.find("e", "r")), "unknown");
});

test("a host goes on asking for thirty seconds after the other version has gone", async () => {
  const fleet = createFleet();
  fleet.update(["v1", "v1.1"]);
  fleet.clock.advance(LONG_MS);
  fleet.update(["v1.1"]);
  strictEqual(getVersion(await fleet.find("b", "r")), "unknown");
  fleet.clock.advance(30_000);
  strictEqual(getVersion(await fleet.find("b", "r")), "v1.1");
});

test("a stream that was taken up is known where it was, and told anew", async () => {
  const fleet = createFleet();
  fleet.update(["v1", "v1.1"]);
  fleet.begin("a", "r", "v1");
  await fleet.settle();
  fleet.clock.advance(25_000);
  fleet.begin("b", "r", "v1");
  await fleet.settle();
  fleet.clock.advance(25_000);
  for (const name of NAMES) {
    strictEqual(getVersion(await fleet.find(name, "r")), "v1");
  }
});

test("a new version is sent to all hosts by a few of them", () => {
  const fleet = createFleet();
  fleet.update(["v1"]);
  fleet.update(["v1", "v1.1"]);
  ok(fleet.published.length > 0 && fleet.published.length <= 3);
});

test("hosts that have just started don't vouch for a single version", async () => {
  // Guards against streams of a version that went before all hosts started.
  const fleet = createFleet();
  fleet.update(["v1.1"]);
  NAMES.forEach((each) => fleet.cutOff.add(each));
  fleet.tick();
  strictEqual(getVersion(await fleet.find("a", "r")), "unknown");
  fleet.clock.advance(LONG_MS);
  fleet.tick();
  strictEqual(getVersion(await fleet.find("a", "r")), "v1.1");
});
