/**
 * How long an accepted configuration takes to be in force at every host, by the
 * real membership and watcher in virtual time: datagrams with the latencies of
 * the brief and 1% loss, files fetched from the peer that named the version.
 *
 * Changes come as on a busy day, 1,100 of them, with idle time cut to 15 s. In
 * every second round the acceptor dies right after the store took the version,
 * so that only the polls can find it; hosts then lose one of their number.
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
import { type Agenda, createAgenda } from "./agenda.ts";
import type { ScenarioOptions } from "./main.ts";
import type { Report } from "./report.ts";

const CHANGES = 40;
const DAY_MS = 86_400_000;
const CHANGES_A_DAY = 1_100;
const IDLE_LIMIT_MS = 15_000;
const NEAR_MS = 1.5;
const FAR_MS = 20;
const LOSS = 0.01;
const DATA_CENTRES = 6;
/** From the goal: what the files hold. */
const TEAMS = 290;
const UPSTREAMS = 600;
const GOAL_MS = 7_000;

interface SpreadHost {
  readonly self: Member;
  readonly membership: Membership;
  readonly watcher: ConfigWatcher;
  heardMs: number;
  isDead: boolean;
}

interface SpreadWorld {
  readonly agenda: Agenda;
  readonly hosts: SpreadHost[];
  readonly inForceMs: Map<string, number>;
  readonly record: Map<number, ConfigCopy>;
  reads: number;
}

/** Runs the scenario. */
export function measureConfigSpread(options: ScenarioOptions): Report {
  const generator = xoroshiro128plus(options.seed);
  const random = () => uniformFloat64(generator);
  const world = createWorld(options.hosts, random);
  const alive: number[] = [];
  const died: number[] = [];
  for (let change = 1; change <= CHANGES; change++) {
    const idleMs = -Math.log(1 - random()) * DAY_MS / CHANGES_A_DAY;
    const nowMs = world.agenda.clock.monotonicMs();
    world.agenda.runUntil(nowMs + Math.min(idleMs, IDLE_LIMIT_MS) + 1_000);
    const isLost = change % 2 === 0;
    const times = spreadOne(world, { version: change, isLost, random });
    (isLost ? died : alive).push(...times);
  }
  return createReport(options, { world, alive, died });
}

/** Accepts one version and gives each host's time until it is in force. */
function spreadOne(
  world: SpreadWorld,
  change: { version: number; isLost: boolean; random: () => number },
): readonly number[] {
  const { agenda, hosts } = world;
  const copy = createCopy(change.version);
  const startMs = agenda.clock.monotonicMs();
  world.inForceMs.clear();
  world.record.set(change.version, copy);
  const acceptor = hosts[Math.floor(change.random() * hosts.length)]!;
  if (change.isLost) acceptor.isDead = true;
  else acceptor.watcher.putAcceptedInForce(copy);
  const others = hosts.filter((host) => !host.isDead);
  for (let waitedMs = 0; waitedMs < 60_000; waitedMs += 500) {
    agenda.runUntil(startMs + waitedMs);
    if (world.inForceMs.size >= others.length) break;
  }
  acceptor.isDead = false;
  return others.map((host) =>
    (world.inForceMs.get(host.self.host) ?? Infinity) - startMs
  );
}

function createWorld(size: number, random: () => number): SpreadWorld {
  const world: SpreadWorld = {
    agenda: createAgenda(),
    hosts: [],
    inForceMs: new Map(),
    record: new Map(),
    reads: 0,
  };
  const selves = Array.from({ length: size }, (_, index) => createSelf(index));
  for (const self of selves) {
    world.hosts.push(createHost(world, self, random));
  }
  for (const host of world.hosts) {
    for (const self of selves) host.membership.applyUpdate(self);
    startTasks(world, host, random);
  }
  return world;
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
  return getRegion(from) === getRegion(to) ? NEAR_MS : FAR_MS;
}

function createHost(
  world: SpreadWorld,
  self: Member,
  random: () => number,
): SpreadHost {
  const { agenda } = world;
  const getHost = (address: string) => world.hosts[Number(address)]!;
  const watcher = createConfigWatcher({
    getHead: () =>
      Effect.sync(() => {
        world.reads++;
        return world.record.get(world.record.size)?.row;
      }),
    tryGetVersion: (version) =>
      Effect.sync(() => world.record.get(version)?.row),
    tryGetFiles: (digest) =>
      Effect.sync(() =>
        [...world.record.values()].find((each) => each.row.digest === digest)
          ?.files
      ),
    tryFetch: (peer, asked) =>
      Effect.sync(() => {
        const from = world.hosts.find((each) => each.self.host === peer)!;
        const copy = from.isDead
          ? undefined
          : from.watcher.tryGetCopy(asked.digest);
        return copy && { copy, knownHosts: world.hosts.length };
      }),
    sortPeers: (peers) => peers,
    countKnownPeers: () => world.hosts.length - 1,
    onInForce: () => world.inForceMs.set(self.host, agenda.clock.monotonicMs()),
    onRefused() {},
  });
  const membership: Membership = createMembership(self, {
    clock: agenda.clock,
    random,
    onChange() {},
    onFact() {},
    getConfigVersion: () => ({
      version: watcher.getCurrent()?.version ?? 0,
      digest: watcher.getCurrent()?.digest ?? "",
    }),
    onConfigVersion(version, digest, from) {
      host.heardMs = agenda.clock.monotonicMs();
      watcher.recordPeerVersion({ version, digest }, from);
      if (!watcher.isOutdated()) return;
      // Dial, ask and receive: three trips to the peer that named it.
      const peer = world.hosts.find((each) => each.self.host === from)!;
      const fetchMs = 3 * getLatencyMs(self, peer.self);
      agenda.after(fetchMs, () => Effect.runSync(watcher.catchUp()));
    },
    send(address, message) {
      const to = getHost(address);
      if (host.isDead || random() < LOSS) return;
      agenda.after(getLatencyMs(self, to.self), () => {
        if (!to.isDead) to.membership.receive(message, self.peerAddress);
      });
    },
  });
  const host = { self, membership, watcher, heardMs: 0, isDead: false };
  return host;
}

function startTasks(
  world: SpreadWorld,
  host: SpreadHost,
  random: () => number,
): void {
  const { agenda } = world;
  const { periodMs } = defaultMembershipOptions;
  const near = world.hosts.filter((each) =>
    each.self.dataCentre === host.self.dataCentre
  ).map((each) => each.self.host);
  const isPicked = tryGetOwner("poll", near) === host.self.host;

  function poll(): void {
    if (!host.isDead) Effect.runSync(host.watcher.poll().pipe(Effect.ignore));
    const waitMs = getPollMs({
      hasVersion: host.watcher.getCurrent() !== undefined,
      isDesignatedPoller: isPicked,
      sinceLastPeerMs: agenda.clock.monotonicMs() - host.heardMs,
      random: random(),
    });
    agenda.after(waitMs, poll);
  }

  agenda.after(random() * periodMs, () => {
    agenda.every(periodMs, () => {
      if (!host.isDead) host.membership.tick();
    });
  });
  agenda.after(random() * 1_000, poll);
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

/** Files of the goal's size, with keys that compress no better than real. */
function createGoalFiles(random: () => number): FileSet {
  const files = createFileSet({
    teams: Object.fromEntries(
      Array.from({ length: TEAMS }, (_, index) => [`team-${index}`, 1]),
    ),
    upstreams: Array.from({ length: UPSTREAMS }, (_, index) => `up-${index}`),
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
    world: SpreadWorld;
    alive: readonly number[];
    died: readonly number[];
  },
): Report {
  const { world, alive, died } = input;
  const generator = xoroshiro128plus(options.seed);
  const files = createGoalFiles(() => uniformFloat64(generator));
  const { row } = createCopy(1);
  const digest = getFileSetDigest(files);
  const bytes = encodeCopy({ row: { ...row, digest }, files }).length;
  const decoded = tryDecodeCopy(
    gzipSync(JSON.stringify({ row: { ...row, digest }, files })),
    { version: 1, digest },
  );
  const seconds = world.agenda.clock.monotonicMs() / 1_000;
  const figure = (name: string, value: number) => ({
    name,
    value,
    baselines: {},
  });
  const bound = { kind: "at-most", value: GOAL_MS } as const;
  return {
    scenario: "config-spread",
    seed: options.seed,
    hosts: options.hosts,
    figures: [
      figure("in_force_p50_ms", getPercentile(alive, 0.5)),
      figure("in_force_p99_ms", getPercentile(alive, 0.99)),
      { ...figure("in_force_max_ms", Math.max(...alive)), bound },
      figure("acceptor_died_p99_ms", getPercentile(died, 0.99)),
      { ...figure("acceptor_died_max_ms", Math.max(...died)), bound },
      figure("store_reads_per_second", world.reads / seconds),
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
