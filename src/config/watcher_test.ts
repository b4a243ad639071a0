/**
 * Tests of the version in force at several hosts that restart without state,
 * are partitioned from each other, or can't reach the store.
 *
 * @module
 */

import assert from "node:assert/strict";
import { test } from "node:test";
import * as Effect from "effect/Effect";
import fc from "fast-check";
import {
  createFakePlatform,
  type FakePlatform,
} from "../testing/fake_platform.ts";
import { createFileSet } from "../testing/file_sets.ts";
import { encodeCopy, tryDecodeCopy } from "./copy.ts";
import { getFileSetDigest } from "./load.ts";
import { type ConfigStore, createConfigStore } from "./store.ts";
import {
  type ConfigWatcher,
  type ConfigWatcherHost,
  createConfigWatcher,
} from "./watcher.ts";

interface TestHost {
  readonly id: string;
  watcher: ConfigWatcher;
  /** Highest version that callers saw at this host, across restarts. */
  highestSeen: number;
  isPartitioned: boolean;
}

type CreateWatcher = (host: ConfigWatcherHost) => ConfigWatcher;

interface TestFleet {
  readonly platform: FakePlatform;
  readonly store: ConfigStore;
  readonly hosts: readonly TestHost[];
  readonly refused: number[];
  /** Highest version that a majority had in force at one time. */
  majorityVersion: number;
  start(host: TestHost): void;
  gossip(from: TestHost, to: TestHost): Promise<void>;
  poll(host: TestHost): Promise<void>;
  accept(host: TestHost): Promise<void>;
}

function createFleet(
  size: number,
  createWatcher: CreateWatcher = createConfigWatcher,
): TestFleet {
  const platform = createFakePlatform();
  const store = createConfigStore(platform);
  const hosts: TestHost[] = [];
  const refused: number[] = [];
  const fleet: TestFleet = {
    platform,
    store,
    hosts,
    refused,
    majorityVersion: 0,
    start(host) {
      host.watcher = createWatcher({
        getHead: store.getHead,
        tryGetVersion: store.tryGetVersion,
        tryGetFiles: store.tryGetFiles,
        tryFetch: (peer, asked) =>
          Effect.sync(() => {
            const from = hosts.find((each) => each.id === peer)!;
            const copy = from.watcher.tryGetCopy(asked.digest);
            if (
              copy === undefined || from.isPartitioned || host.isPartitioned
            ) return;
            const decoded = tryDecodeCopy(encodeCopy(copy), asked);
            return decoded && { copy: decoded, knownHosts: size };
          }),
        sortPeers: (peers) => peers,
        countKnownPeers: () => 1,
        onInForce: (config) => recordInForce(host, config.version),
        onRefused: (version) => refused.push(version),
      });
    },
    async gossip(from, to) {
      if (from.isPartitioned || to.isPartitioned) return;
      const { version = 0, digest = "" } = from.watcher.getCurrent() ?? {};
      to.watcher.recordPeerVersion({ version, digest }, from.id);
      await Effect.runPromise(to.watcher.catchUp());
    },
    async poll(host) {
      await Effect.runPromise(host.watcher.poll().pipe(Effect.ignore));
    },
    async accept(host) {
      const base = host.watcher.getCurrent()?.version ?? 0;
      const files = createFileSet({ teams: { fitters: base + 1 } });
      const result = await Effect.runPromise(Effect.result(store.accept({
        files,
        baseVersion: base,
        author: "ade",
        attempt: `${host.id}/${base}`,
        nowMs: 0,
      })));
      if (result._tag === "Failure") return;
      if (result.success.kind !== "accepted") return;
      host.watcher.putAcceptedInForce({ row: result.success.row, files });
    },
  };

  function recordInForce(host: TestHost, version: number): void {
    // A host that lost its state may go back below a version only if no
    // majority ever had it in force.
    const known = Math.min(host.highestSeen, fleet.majorityVersion);
    if (version < known) {
      throw new Error(`"${host.id}" went from ${known} to ${version}`);
    }
    host.highestSeen = Math.max(host.highestSeen, version);
    const holders = hosts.filter((each) =>
      each === host ||
      (each.watcher.getCurrent()?.version ?? 0) >= version
    );
    if (holders.length > size / 2) {
      fleet.majorityVersion = Math.max(fleet.majorityVersion, version);
    }
  }

  for (let index = 0; index < size; index++) {
    const host = {
      id: `entry-${index}`,
      highestSeen: 0,
      isPartitioned: false,
    } as unknown as TestHost;
    hosts.push(host);
    fleet.start(host);
  }
  return fleet;
}

/** Makes hosts that have read the empty record at their start. */
async function createRunningFleet(
  size: number,
  createWatcher?: CreateWatcher,
): Promise<TestFleet> {
  const fleet = createFleet(size, createWatcher);
  for (const host of fleet.hosts) await fleet.poll(host);
  return fleet;
}

async function gossipAmongAll(fleet: TestFleet): Promise<void> {
  for (let round = 0; round < 2; round++) {
    for (const from of fleet.hosts) {
      for (const to of fleet.hosts) await fleet.gossip(from, to);
    }
  }
}

function getVersions(fleet: TestFleet): readonly number[] {
  return fleet.hosts.map((host) => host.watcher.getCurrent()?.version ?? 0);
}

test("a version reaches all hosts when the store goes down at once", async () => {
  // The store accepts an operator's files and goes down. Without the copy of
  // the host that sent them, no host could read them until the store is back.
  const fleet = await createRunningFleet(5);
  fleet.platform.control.downAfterWrite = true;
  await fleet.accept(fleet.hosts[0]!);
  assert.equal(fleet.platform.control.down, true);
  await gossipAmongAll(fleet);
  assert.deepEqual(getVersions(fleet), [1, 1, 1, 1, 1]);
});

test("a new host with neither store nor peers has nothing in force", async () => {
  // A host is replaced while the store is down and the host is partitioned. It
  // must not serve callers with a configuration that nothing confirms.
  const fleet = await createRunningFleet(5);
  await fleet.accept(fleet.hosts[0]!);
  await gossipAmongAll(fleet);
  fleet.platform.control.down = true;
  fleet.start(fleet.hosts[1]!);
  fleet.hosts[1]!.isPartitioned = true;
  await fleet.poll(fleet.hosts[1]!);
  await gossipAmongAll(fleet);
  assert.equal(fleet.hosts[1]!.watcher.getCurrent(), undefined);
});

test("a restarted host does not trust a single stale peer", async () => {
  // Host 4 was partitioned at version 1; the others have version 2. The store
  // goes down, and host 1 restarts without state and hears from host 4 only.
  // Its callers saw version 2 and must not get version 1. Once a majority
  // announced their versions, host 1 has version 2 in force.
  const fleet = await createRunningFleet(5);
  await fleet.accept(fleet.hosts[0]!);
  await gossipAmongAll(fleet);
  fleet.hosts[4]!.isPartitioned = true;
  await fleet.accept(fleet.hosts[0]!);
  await gossipAmongAll(fleet);
  fleet.platform.control.down = true;
  fleet.hosts[4]!.isPartitioned = false;
  fleet.start(fleet.hosts[1]!);
  await fleet.gossip(fleet.hosts[4]!, fleet.hosts[1]!);
  assert.equal(fleet.hosts[1]!.watcher.getCurrent(), undefined);
  await fleet.gossip(fleet.hosts[0]!, fleet.hosts[1]!);
  await fleet.gossip(fleet.hosts[2]!, fleet.hosts[1]!);
  assert.equal(fleet.hosts[1]!.watcher.getCurrent()?.version, 2);
});

test("a peer's files with another digest are rejected", () => {
  // A peer with damaged memory or a faulty program sends a weight that no
  // operator declared. The digest of the files does not match.
  const files = createFileSet();
  const row = {
    version: 1,
    digest: getFileSetDigest(files),
    parent: 0,
    author: "ade",
    acceptedMs: 0,
    attempt: "a",
  };
  const other = createFileSet({ teams: { fitters: 9 } });
  assert.notEqual(tryDecodeCopy(encodeCopy({ row, files }), row), undefined);
  const forged = encodeCopy({ row, files: other });
  assert.equal(tryDecodeCopy(forged, row), undefined);
  const later = encodeCopy({ row: { ...row, version: 7 }, files });
  assert.equal(tryDecodeCopy(later, row), undefined);
});

test("a version that can't be decoded does not block the next one", async () => {
  // During an update a newer program accepts a key that this one does not know.
  // This host keeps its version, reports the refusal and accepts the next one.
  const fleet = createFleet(4);
  const [first] = fleet.hosts;
  await fleet.accept(first!);
  const files = createFileSet();
  const broken = { ...files, "teams.toml": "unheard_of = 1\n" };
  first!.watcher.putAcceptedInForce({
    row: {
      version: 2,
      digest: getFileSetDigest(broken),
      parent: 1,
      author: "ade",
      acceptedMs: 0,
      attempt: "b",
    },
    files: broken,
  });
  assert.deepEqual(fleet.refused, [2]);
  assert.equal(first!.watcher.getCurrent()?.version, 1);
  first!.watcher.putAcceptedInForce({
    row: {
      version: 3,
      digest: getFileSetDigest(files),
      parent: 2,
      author: "ade",
      acceptedMs: 0,
      attempt: "c",
    },
    files,
  });
  assert.equal(first!.watcher.getCurrent()?.version, 3);
});

test("a version that does not exist does not hide the real one", async () => {
  // A damaged datagram announces version 4000000000. The host can't fetch it,
  // and must still put version 1 in force.
  const fleet = createFleet(4);
  await fleet.accept(fleet.hosts[0]!);
  const target = fleet.hosts[1]!;
  await fleet.poll(target);
  target.watcher.recordPeerVersion(
    { version: 4e9, digest: "f".repeat(64) },
    "entry-2",
  );
  await fleet.gossip(fleet.hosts[0]!, target);
  assert.equal(target.watcher.getCurrent()?.version, 1);
});

/** A step of a random run: its kind and the indexes of two hosts. */
type Step = readonly [
  "accept" | "gossip" | "poll" | "restart" | "cut" | "store",
  number,
  number,
];

const steps = fc.array(
  fc.tuple(
    fc.constantFrom<Step[0][]>(
      "accept",
      "gossip",
      "gossip",
      "gossip",
      "gossip",
      "poll",
      "restart",
      "cut",
      "store",
    ),
    fc.nat(4),
    fc.nat(4),
  ),
  { minLength: 20, maxLength: 150 },
);

async function runSteps(
  fleet: TestFleet,
  stepsToRun: readonly Step[],
): Promise<void> {
  for (const [name, first, second] of stepsToRun) {
    const host = fleet.hosts[first]!;
    switch (name) {
      case "accept":
        await fleet.accept(host);
        break;
      case "gossip":
        await fleet.gossip(host, fleet.hosts[second]!);
        break;
      case "poll":
        await fleet.poll(host);
        break;
      case "restart":
        fleet.start(host);
        await fleet.poll(host);
        break;
      case "cut":
        host.isPartitioned = !host.isPartitioned;
        break;
      case "store":
        fleet.platform.control.down = !fleet.platform.control.down;
    }
  }
}

/** Makes all hosts and the store reachable; all must get the newest version. */
async function recoverAll(fleet: TestFleet): Promise<void> {
  fleet.platform.control.down = false;
  for (const host of fleet.hosts) host.isPartitioned = false;
  for (const host of fleet.hosts) await fleet.poll(host);
  const head = await Effect.runPromise(fleet.store.getHead());
  for (const version of getVersions(fleet)) {
    assert.equal(version, head?.version ?? 0);
  }
}

test("no host goes back to an older version in random runs with failures", async () => {
  // Five hosts accept versions, gossip, poll, restart without state and are
  // partitioned, while the store goes down and comes back.
  await fc.assert(
    fc.asyncProperty(steps, async (taken) => {
      const fleet = await createRunningFleet(5);
      await runSteps(fleet, taken);
      await recoverAll(fleet);
    }),
    { seed: 7, numRuns: 1_000 },
  );
});

test("without the majority rule hosts go back to older versions", async () => {
  // With the rule disabled, a host without state trusts the first peer.
  const createWatcherWithoutMajority: CreateWatcher = (host) => {
    const watcher = createConfigWatcher(host);
    return {
      ...watcher,
      recordPeerVersion(claim, peer) {
        if (claim.version > 0) {
          watcher.recordPeerVersion(claim, `${peer}/second`);
          watcher.recordPeerVersion(claim, `${peer}/third`);
        }
        watcher.recordPeerVersion(claim, peer);
      },
    };
  };
  const checked = await fc.check(
    fc.asyncProperty(steps, async (taken) => {
      const fleet = await createRunningFleet(
        5,
        (host) =>
          createWatcherWithoutMajority({
            ...host,
            tryFetch: (peer, asked) =>
              host.tryFetch(peer.split("/")[0]!, asked).pipe(
                Effect.map((found) => found && { ...found, knownHosts: 1 }),
              ),
          }),
      );
      await runSteps(fleet, taken);
    }),
    { seed: 7, numRuns: 1_000 },
  );
  assert(checked.failed);
  assert.match(String(checked.errorInstance), /went from/);
});
