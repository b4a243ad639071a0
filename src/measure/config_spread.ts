/**
 * Scenario `config-spread`: measures how long an accepted configuration takes
 * until it is in force at every host. It runs the real membership and
 * configuration watcher in virtual time. Datagrams have the latencies of a
 * deployment and 1% loss; files are fetched from the peer that announced the
 * version.
 *
 * Changes arrive at the rate of a busy day, 1,100 a day, with idle times of at
 * most 15 s. In every second round the acceptor dies right after the store has
 * accepted the version, so that only the hosts' polls of the store can find it.
 *
 * @module
 */

import { gzipSync } from "node:zlib";
import * as Effect from "effect/Effect";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import {
  type ConfigCopy,
  type ConfigWatcher,
  createConfigWatcher,
  encodeCopy,
  type FileSet,
  getFileSetDigest,
  getPollMs,
  tryDecodeCopy,
  type VersionRow,
} from "../config/mod.ts";
import {
  createMembership,
  defaultMembershipOptions,
  type Member,
  type Membership,
  tryGetOwner,
} from "../membership/mod.ts";
import { createFileSet } from "../testing/file_sets.ts";
import {
  createVirtualScheduler,
  type VirtualScheduler,
} from "./virtual_scheduler.ts";
import type { ScenarioOptions } from "./main.ts";
import type { Report } from "./report.ts";

const CHANGES = 40;
const DAY_MS = 86_400_000;
const CHANGES_A_DAY = 1_100;
const MAX_IDLE_MS = 15_000;
const SAME_REGION_DELAY_MS = 1.5;
const CROSS_REGION_DELAY_MS = 20;
const DATAGRAM_LOSS = 0.01;
const DATA_CENTRES = 6;
/** Teams and upstreams in the files of a deployment of the target size. */
const TARGET_TEAMS = 290;
const TARGET_UPSTREAMS = 600;
/** Time within which a version must be in force at every host. */
const TARGET_MS = 7_000;

interface SimulatedHost {
  readonly self: Member;
  readonly membership: Membership;
  readonly watcher: ConfigWatcher;
  /** Time when a datagram with a version last arrived. */
  lastPeerMs: number;
  isDead: boolean;
}

interface Simulation {
  readonly scheduler: VirtualScheduler;
  readonly hosts: SimulatedHost[];
  /** Time when the version came into force, by host. */
  readonly inForceMs: Map<string, number>;
  /** Versions in the store, by number. */
  readonly stored: Map<number, ConfigCopy>;
  storeReads: number;
}

/** Runs the scenario. */
export function measureConfigSpread(options: ScenarioOptions): Report {
  const generator = xoroshiro128plus(options.seed);
  const random = () => uniformFloat64(generator);
  const simulation = createSimulation(options.hosts, random);
  const normal: number[] = [];
  const afterDeath: number[] = [];
  for (let change = 1; change <= CHANGES; change++) {
    const idleMs = -Math.log(1 - random()) * DAY_MS / CHANGES_A_DAY;
    const nowMs = simulation.scheduler.clock.monotonicMs();
    simulation.scheduler.runUntil(
      nowMs + Math.min(idleMs, MAX_IDLE_MS) + 1_000,
    );
    const acceptorDies = change % 2 === 0;
    const times = measureRollout(simulation, {
      version: change,
      acceptorDies,
      random,
    });
    (acceptorDies ? afterDeath : normal).push(...times);
  }
  return createReport(options, { simulation, normal, afterDeath });
}

/**
 * Accepts one version and returns the time until it is in force, for each host.
 */
function measureRollout(
  simulation: Simulation,
  change: { version: number; acceptorDies: boolean; random: () => number },
): readonly number[] {
  const { scheduler, hosts } = simulation;
  const copy = createCopy(change.version);
  const startMs = scheduler.clock.monotonicMs();
  simulation.inForceMs.clear();
  simulation.stored.set(change.version, copy);
  const acceptor = hosts[Math.floor(change.random() * hosts.length)]!;
  if (change.acceptorDies) acceptor.isDead = true;
  else acceptor.watcher.putAcceptedInForce(copy);
  const others = hosts.filter((host) => !host.isDead);
  for (let waitedMs = 0; waitedMs < 60_000; waitedMs += 500) {
    scheduler.runUntil(startMs + waitedMs);
    if (simulation.inForceMs.size >= others.length) break;
  }
  acceptor.isDead = false;
  return others.map((host) =>
    (simulation.inForceMs.get(host.self.host) ?? Infinity) - startMs
  );
}

function createSimulation(size: number, random: () => number): Simulation {
  const simulation: Simulation = {
    scheduler: createVirtualScheduler(),
    hosts: [],
    inForceMs: new Map(),
    stored: new Map(),
    storeReads: 0,
  };
  const members = Array.from({ length: size }, (_, index) => createSelf(index));
  for (const self of members) {
    simulation.hosts.push(createHost(simulation, self, random));
  }
  for (const host of simulation.hosts) {
    for (const self of members) host.membership.applyUpdate(self);
    startTasks(simulation, host, random);
  }
  return simulation;
}

function createSelf(index: number): Member {
  return {
    host: `entry-${index}`,
    incarnation: 1,
    revision: 1,
    state: "alive",
    dataCentre: `dc-${index % DATA_CENTRES}`,
    peerAddress: String(index),
    publicAddress: "",
  };
}

function getLatencyMs(from: Member, to: Member): number {
  const getRegion = (member: Member) =>
    Number(member.dataCentre.slice(3)) < DATA_CENTRES / 2;
  return getRegion(from) === getRegion(to)
    ? SAME_REGION_DELAY_MS
    : CROSS_REGION_DELAY_MS;
}

function createHost(
  simulation: Simulation,
  self: Member,
  random: () => number,
): SimulatedHost {
  const { scheduler } = simulation;
  const getHostAt = (address: string) => simulation.hosts[Number(address)]!;
  const watcher = createConfigWatcher({
    getHead: () =>
      Effect.sync(() => {
        simulation.storeReads++;
        return simulation.stored.get(simulation.stored.size)?.row;
      }),
    tryGetVersion: (version) =>
      Effect.sync(() => simulation.stored.get(version)?.row),
    tryGetFiles: (digest) =>
      Effect.sync(() =>
        [...simulation.stored.values()].find((each) =>
          each.row.digest === digest
        )
          ?.files
      ),
    tryFetch: (peer, asked) =>
      Effect.sync(() => {
        const from = simulation.hosts.find((each) => each.self.host === peer)!;
        const copy = from.isDead
          ? undefined
          : from.watcher.tryGetCopy(asked.digest);
        return copy && { copy, knownHosts: simulation.hosts.length };
      }),
    sortPeers: (peers) => peers,
    countKnownPeers: () => simulation.hosts.length - 1,
    onInForce: () =>
      simulation.inForceMs.set(self.host, scheduler.clock.monotonicMs()),
    onRefused() {},
  });
  const membership: Membership = createMembership(self, {
    clock: scheduler.clock,
    random,
    onChange() {},
    onFact() {},
    getConfigVersion: () => ({
      version: watcher.getCurrent()?.version ?? 0,
      digest: watcher.getCurrent()?.digest ?? "",
    }),
    onConfigVersion(version, digest, from) {
      host.lastPeerMs = scheduler.clock.monotonicMs();
      watcher.recordPeerVersion({ version, digest }, from);
      if (!watcher.isOutdated()) return;
      // Dial, request and response: three one-way delays to the announcing
      // peer.
      const peer = simulation.hosts.find((each) => each.self.host === from)!;
      const fetchMs = 3 * getLatencyMs(self, peer.self);
      scheduler.after(fetchMs, () => Effect.runSync(watcher.catchUp()));
    },
    send(address, message) {
      const to = getHostAt(address);
      if (host.isDead || random() < DATAGRAM_LOSS) return;
      scheduler.after(getLatencyMs(self, to.self), () => {
        if (!to.isDead) to.membership.receive(message, self.peerAddress);
      });
    },
  });
  const host = { self, membership, watcher, lastPeerMs: 0, isDead: false };
  return host;
}

function startTasks(
  simulation: Simulation,
  host: SimulatedHost,
  random: () => number,
): void {
  const { scheduler } = simulation;
  const { periodMs } = defaultMembershipOptions;
  const sameDataCentre = simulation.hosts.filter((each) =>
    each.self.dataCentre === host.self.dataCentre
  ).map((each) => each.self.host);
  const isDesignatedPoller =
    tryGetOwner("poll", sameDataCentre) === host.self.host;

  function poll(): void {
    if (!host.isDead) Effect.runSync(host.watcher.poll().pipe(Effect.ignore));
    const waitMs = getPollMs({
      hasVersion: host.watcher.getCurrent() !== undefined,
      isDesignatedPoller,
      sinceLastPeerMs: scheduler.clock.monotonicMs() - host.lastPeerMs,
      random: random(),
    });
    scheduler.after(waitMs, poll);
  }

  scheduler.after(random() * periodMs, () => {
    scheduler.every(periodMs, () => {
      if (!host.isDead) host.membership.tick();
    });
  });
  scheduler.after(random() * 1_000, poll);
}

function createCopy(version: number): ConfigCopy {
  const files = createFileSet({ teams: { fitters: version } });
  const digest = getFileSetDigest(files);
  const row: VersionRow = {
    version,
    digest,
    parent: version - 1,
    author: "measure",
    acceptedMs: 0,
    attempt: String(version),
  };
  return { row, files };
}

/** Creates files of the target size, with keys that compress like real ones. */
function createTargetSizeFiles(random: () => number): FileSet {
  const files = createFileSet({
    teams: Object.fromEntries(
      Array.from({ length: TARGET_TEAMS }, (_, index) => [`team-${index}`, 1]),
    ),
    upstreams: Array.from(
      { length: TARGET_UPSTREAMS },
      (_, index) => `up-${index}`,
    ),
  });
  const createKey = () =>
    Array.from({ length: 64 }, () => Math.floor(random() * 16).toString(16))
      .join("");
  return {
    ...files,
    "teams.toml": files["teams.toml"]!.replace(/0{64}/g, createKey),
  };
}

function createReport(
  options: ScenarioOptions,
  input: {
    simulation: Simulation;
    normal: readonly number[];
    afterDeath: readonly number[];
  },
): Report {
  const { simulation, normal, afterDeath } = input;
  const generator = xoroshiro128plus(options.seed);
  const files = createTargetSizeFiles(() => uniformFloat64(generator));
  const { row } = createCopy(1);
  const digest = getFileSetDigest(files);
  const bytes = encodeCopy({ row: { ...row, digest }, files }).length;
  const decoded = tryDecodeCopy(
    gzipSync(JSON.stringify({ row: { ...row, digest }, files })),
    { version: 1, digest },
  );
  const seconds = simulation.scheduler.clock.monotonicMs() / 1_000;
  const figure = (name: string, value: number) => ({
    name,
    value,
    baselines: {},
  });
  const bound = { kind: "at-most", value: TARGET_MS } as const;
  return {
    scenario: "config-spread",
    seed: options.seed,
    hosts: options.hosts,
    figures: [
      figure("in_force_p50_ms", getPercentile(normal, 0.5)),
      figure("in_force_p99_ms", getPercentile(normal, 0.99)),
      { ...figure("in_force_max_ms", Math.max(...normal)), bound },
      figure("acceptor_died_p99_ms", getPercentile(afterDeath, 0.99)),
      { ...figure("acceptor_died_max_ms", Math.max(...afterDeath)), bound },
      figure("store_reads_per_second", simulation.storeReads / seconds),
      figure("goal_copy_bytes", decoded === undefined ? Infinity : bytes),
      figure(
        "goal_copy_bytes_per_second",
        bytes * CHANGES_A_DAY / (DAY_MS / 1_000),
      ),
    ],
  };
}

function getPercentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[
    Math.min(sorted.length - 1, Math.floor(share * sorted.length))
  ]!;
}
