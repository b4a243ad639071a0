import { deepStrictEqual, strictEqual } from "node:assert";
import { test } from "node:test";
import { setImmediate } from "node:timers/promises";
import * as Effect from "effect/Effect";
import * as TestClock from "effect/testing/TestClock";
import { createManualClock } from "../core/mod.ts";
import { TableError } from "../discovery/types.ts";
import { rankByRendezvous } from "../membership/mod.ts";
import {
  createFakeVersionDirectory,
  type FakeVersionDirectory,
} from "../testing/fake_version_directory.ts";
import { createVersionRecord, type VersionRecord } from "./version_record.ts";

const NAMES = ["a", "b", "c", "d", "e", "f"];

/** Longer than the pauses between two attempts or checks, in ms. */
const CHECKED_MS = 6_000;

const STEP_MS = 100;

const away = new TableError({ kind: "unreachable", reason: "away" });

interface Recorder {
  readonly record: VersionRecord;
  /** Versions that the host read at its start. */
  readonly read: readonly string[];
  /** Sets the versions that the host knows, and adds those that are new to it. */
  setKnown(versions: readonly string[]): void;
}

/** Starts hosts that know each other and share a record, in virtual time. */
function createFleet(directory: FakeVersionDirectory) {
  const clock = createManualClock(0);
  const alive = new Set(NAMES);
  /** What a read of the table shows to hosts that don't know it; `undefined`: it fails. */
  let missed: readonly string[] | undefined = [];

  function startHost(self: string): Effect.Effect<Recorder> {
    return Effect.gen(function* () {
      let known: readonly string[] = [];
      const read: string[] = [];
      const toRow = (version: string) => ({ service: "s", version });
      const record = createVersionRecord({
        clock,
        directory,
        self,
        getHosts: () => [...alive],
        getKnown: () => known.map(toRow),
        readTable: Effect.suspend(() => {
          if (missed === undefined) return Effect.fail(away);
          known = [...new Set([...known, ...missed])];
          return Effect.void;
        }),
        onRead: (rows) => read.push(...rows.map((each) => each.version)),
        onFailure: () => {},
        random: () => 0,
      });
      yield* Effect.forkDetach(record.run);
      return {
        record,
        read,
        setKnown(versions) {
          const added = versions.filter((each) =>
            !known.includes(each) && !read.includes(each)
          );
          known = versions;
          record.add(added.map(toRow));
        },
      };
    });
  }

  const step = Effect.suspend(() => {
    clock.advance(STEP_MS);
    return TestClock.adjust(STEP_MS);
  }).pipe(Effect.andThen(Effect.promise(() => setImmediate())));

  return {
    alive,
    setMissed: (versions: readonly string[] | undefined) => missed = versions,
    start: Effect.forEach(NAMES, startHost),
    run: (ms: number) => Effect.repeat(step, { times: ms / STEP_MS - 1 }),
  };
}

/** Starts the hosts, and plays in virtual time. */
function playFleet(
  directory: FakeVersionDirectory,
  play: (
    fleet: ReturnType<typeof createFleet>,
    hosts: readonly Recorder[],
  ) => Effect.Effect<void>,
): Promise<void> {
  const fleet = createFleet(directory);
  return Effect.runPromise(
    fleet.start.pipe(
      Effect.flatMap((hosts) => play(fleet, hosts)),
      Effect.provide(TestClock.layer()),
    ),
  );
}

function countCalls({ calls }: FakeVersionDirectory, name: string): number {
  return calls.filter((each) => each === name).length;
}

test("a version is written by three hosts, and removed by one once it has gone", async () => {
  const directory = createFakeVersionDirectory();
  await playFleet(directory, (fleet, hosts) =>
    Effect.gen(function* () {
      for (const each of hosts) each.setKnown(["v1"]);
      yield* fleet.run(CHECKED_MS);
      deepStrictEqual(directory.getVersions(), ["v1"]);
      strictEqual(countCalls(directory, "add v1"), 3);
      for (const each of hosts) each.setKnown(["v1", "v2"]);
      yield* fleet.run(100);
      deepStrictEqual(directory.getVersions(), ["v1", "v2"]);
      for (const each of hosts) each.setKnown(["v2"]);
      yield* fleet.run(2 * CHECKED_MS);
      deepStrictEqual(directory.getVersions(), ["v2"]);
      strictEqual(countCalls(directory, "remove v1"), 1);
    }));
});

test("hosts that start read what is on record, and write nothing that is", async () => {
  // Guards against a write by every host at each start of the fleet.
  const directory = createFakeVersionDirectory();
  await Effect.runPromise(directory.add({ service: "s", version: "v1" }));
  await playFleet(directory, (fleet, hosts) =>
    Effect.gen(function* () {
      yield* fleet.run(100);
      for (const { record, read, setKnown } of hosts) {
        strictEqual(record.isRead(), true);
        deepStrictEqual(read, ["v1"]);
        setKnown(["v1"]);
      }
      yield* fleet.run(CHECKED_MS);
    }));
  strictEqual(countCalls(directory, "read"), NAMES.length);
  strictEqual(countCalls(directory, "add v1"), 1);
});

test("a host vouches for nothing until it has read the record", async () => {
  // Guards against an unreachable record that counts as an empty one.
  const directory = createFakeVersionDirectory();
  directory.setAway(true);
  await playFleet(directory, (fleet, [host]) =>
    Effect.gen(function* () {
      yield* fleet.run(CHECKED_MS);
      strictEqual(host!.record.isRead(), false);
      directory.setAway(false);
      yield* fleet.run(CHECKED_MS);
      strictEqual(host!.record.isRead(), true);
    }));
});

test("a write that fails is repeated", async () => {
  // Guards against a version that is not on record since the platform was away.
  const directory = createFakeVersionDirectory();
  await playFleet(directory, (fleet, hosts) =>
    Effect.gen(function* () {
      for (const each of hosts) each.setKnown(["v1"]);
      yield* fleet.run(CHECKED_MS);
      directory.setAway(true);
      for (const each of hosts) each.setKnown(["v2"]);
      yield* fleet.run(CHECKED_MS);
      directory.setAway(false);
      yield* fleet.run(CHECKED_MS);
      deepStrictEqual(directory.getVersions(), ["v2"]);
    }));
});

test("what the first host has not removed is removed by the next one", async () => {
  // Guards against rows that stay after the host that is to remove them is lost.
  const directory = createFakeVersionDirectory();
  await playFleet(directory, (fleet, hosts) =>
    Effect.gen(function* () {
      for (const each of hosts) each.setKnown(["v1"]);
      yield* fleet.run(CHECKED_MS);
      directory.setAway(true);
      for (const each of hosts) each.setKnown([]);
      yield* fleet.run(CHECKED_MS);
      const [first] = rankByRendezvous("s/v1", NAMES);
      fleet.alive.delete(first!);
      directory.setAway(false);
      yield* fleet.run(2 * CHECKED_MS);
      deepStrictEqual(directory.getVersions(), []);
    }));
});

test("a version that the host's table lacks is not removed while it serves", async () => {
  // Guards against a host out of step that removes from the record what joined.
  const directory = createFakeVersionDirectory();
  await playFleet(directory, (fleet, hosts) =>
    Effect.gen(function* () {
      for (const each of hosts) each.setKnown(["v1"]);
      yield* fleet.run(CHECKED_MS);
      fleet.setMissed(["v1"]);
      for (const each of hosts) each.setKnown([]);
      yield* fleet.run(2 * CHECKED_MS);
      deepStrictEqual(directory.getVersions(), ["v1"]);
      strictEqual(countCalls(directory, "remove v1"), 0);
    }));
});

test("no version is removed while the table of upstreams can't be read", async () => {
  // Guards against a record that is lost together with the table.
  const directory = createFakeVersionDirectory();
  await playFleet(directory, (fleet, hosts) =>
    Effect.gen(function* () {
      for (const each of hosts) each.setKnown(["v1"]);
      yield* fleet.run(CHECKED_MS);
      fleet.setMissed(undefined);
      for (const each of hosts) each.setKnown([]);
      yield* fleet.run(2 * CHECKED_MS);
      deepStrictEqual(directory.getVersions(), ["v1"]);
      fleet.setMissed([]);
      yield* fleet.run(2 * CHECKED_MS);
      deepStrictEqual(directory.getVersions(), []);
    }));
});

test("a version that comes back after it was removed is written again", async () => {
  const directory = createFakeVersionDirectory();
  await playFleet(directory, (fleet, hosts) =>
    Effect.gen(function* () {
      for (const known of [["v1"], ["v2"], ["v2", "v1"]]) {
        for (const each of hosts) each.setKnown(known);
        yield* fleet.run(2 * CHECKED_MS);
        deepStrictEqual(directory.getVersions(), [...known].sort());
      }
    }));
});

test("what a restored platform has lost is written again", async () => {
  const directory = createFakeVersionDirectory();
  await playFleet(directory, (fleet, hosts) =>
    Effect.gen(function* () {
      for (const each of hosts) each.setKnown(["v1", "v2"]);
      yield* fleet.run(CHECKED_MS);
      directory.clear();
      for (const { record } of hosts) record.rewrite();
      yield* fleet.run(100);
      deepStrictEqual(directory.getVersions(), ["v1", "v2"]);
    }));
});
