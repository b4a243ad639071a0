/**
 * Scenario `scale`: measures the cost of the membership of a host at four fleet
 * sizes up to the target of 390 hosts, with the real protocol and codec, and
 * the time until an update has reached every host. Baseline: a full mesh, in
 * which every host sends a heartbeat to every other host each second.
 *
 * Processor times depend on the machine, include sending and receiving, and
 * vary by 10% to 20% from run to run. Bytes are the same in each run with a
 * seed.
 *
 * @module
 */

import process from "node:process";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { createManualClock } from "../core/mod.ts";
import {
  createMembership,
  type Member,
  type MembershipMessage,
  tryGetOwner,
} from "../membership/mod.ts";
import { createDatagramCodec } from "../peers/mod.ts";
import type { ScenarioOptions } from "./main.ts";
import {
  createMembershipFixture,
  type MembershipFixture,
} from "./membership_fixture.ts";
import type { Figure, Report } from "./report.ts";

const SIZES = [9, 48, 130, 390];
const TARGET_UPSTREAMS = 600;
const TARGET_DATA_CENTRES = 6;
const DATAGRAM_LOSS = 0.01;
const IDLE_MS = 30_000;
const HEADER_BYTES = 28;

/** Budget of all control traffic of a host, of which membership is a part. */
const MAX_BYTES_PER_S = 3_000;
const MAX_CORE_PERCENT = 2.3;
const MAX_PROPAGATION_MS = 10_000;

interface Cost {
  readonly bytesPerS: number;
  readonly corePercent: number;
}

/** Measures each size, and the slopes of heap and bytes per member. */
export function measureScale({ seed, hosts }: ScenarioOptions): Report {
  const figures: Figure[] = [];
  const heap: [number, number][] = [];
  const bytes: [number, number][] = [];
  for (const size of SIZES) {
    const fixture = createMembershipFixture({
      hosts: size,
      seed,
      loss: DATAGRAM_LOSS,
      encodesDatagrams: true,
    });
    const cost = measureIdle(fixture);
    const fullMesh = measureFullMesh(size);
    const heapBytes = measureHeap(size);
    heap.push([size, heapBytes]);
    bytes.push([size, cost.bytesPerS]);
    figures.push(
      {
        name: `bytes_per_s_sent_by_a_host_of_${size}`,
        value: cost.bytesPerS,
        baselines: { fullMesh: fullMesh.bytesPerS },
        bound: { kind: "at-most", value: MAX_BYTES_PER_S },
      },
      {
        name: `core_percent_of_a_host_of_${size}`,
        value: cost.corePercent,
        baselines: { fullMesh: fullMesh.corePercent },
        bound: { kind: "at-most", value: MAX_CORE_PERCENT },
      },
      {
        name: `heap_kb_of_members_of_${size}`,
        value: heapBytes / 1024,
        baselines: {},
      },
      {
        name: `death_known_everywhere_of_${size}_ms`,
        value: measureDetection(fixture),
        baselines: {},
        bound: { kind: "at-most", value: MAX_PROPAGATION_MS },
      },
      {
        name: `fact_known_everywhere_of_${size}_ms`,
        value: measureFactPropagation(fixture),
        baselines: {},
        bound: { kind: "at-most", value: MAX_PROPAGATION_MS },
      },
      {
        name: `owners_of_all_upstreams_of_${size}_ms`,
        value: measureOwnerSelection(size),
        baselines: {},
      },
    );
  }
  figures.push(
    { name: "heap_bytes_a_member", value: getSlope(heap), baselines: {} },
    {
      name: "bytes_per_s_a_member",
      value: getSlope(bytes),
      baselines: {},
      bound: { kind: "at-most", value: 1 },
    },
  );
  return { scenario: "scale", seed, hosts, figures };
}

/** Measures 30 s in which no host changes and datagrams are lost. */
function measureIdle(fixture: MembershipFixture): Cost {
  const { scheduler, names } = fixture;
  const before = fixture.getTraffic();
  const cpu = process.cpuUsage();
  scheduler.runUntil(scheduler.clock.monotonicMs() + IDLE_MS);
  const { user, system } = process.cpuUsage(cpu);
  const sent = fixture.getTraffic().bytes - before.bytes;
  const hostSeconds = names.length * IDLE_MS / 1000;
  return {
    bytesPerS: sent / hostSeconds,
    corePercent: (user + system) / 1e6 / hostSeconds * 100,
  };
}

/**
 * Measures one second of a full mesh at one host, which sends a datagram to
 * every other host and decodes one from each.
 */
function measureFullMesh(size: number): Cost {
  const codec = createDatagramCodec("secret-of-the-measured-fleet");
  const message: MembershipMessage = {
    from: "entry-100",
    incarnation: 1,
    sequence: 1,
    isAck: false,
    wantsSync: false,
    probeTarget: "",
    configVersion: 7,
    configDigest: "ab".repeat(32),
    updates: [],
    facts: [],
    directFacts: [],
  };
  const rounds = 20;
  let bytes = 0;
  const cpu = process.cpuUsage();
  for (let round = 0; round < rounds; round++) {
    for (let other = 1; other < size; other++) {
      const datagram = codec.encode(message);
      bytes += datagram.length + HEADER_BYTES;
      codec.tryDecode(datagram);
    }
  }
  const { user, system } = process.cpuUsage(cpu);
  return {
    bytesPerS: bytes / rounds,
    corePercent: (user + system) / 1e6 / rounds * 100,
  };
}

function createMember(at: number): Member {
  return {
    host: `entry-${at}`,
    incarnation: 1_764_000_000_000 + at,
    revision: 1,
    state: "alive",
    dataCentre: `lagos-dc-${at % TARGET_DATA_CENTRES + 1}`,
    peerAddress: `10.20.${at >> 8}.${at & 255}:21051`,
    publicAddress: `10.20.${at >> 8}.${at & 255}:21001`,
  };
}

/** Measures the heap of one host's member table, as the mean of many copies. */
function measureHeap(size: number): number {
  setFlagsFromString("--expose-gc");
  const collect = runInNewContext("gc") as () => void;
  const copies = Math.ceil(20_000 / size);
  collect();
  const before = process.memoryUsage().heapUsed;
  const memberships = Array.from({ length: copies }, () => {
    const membership = createMembership(createMember(0), {
      clock: createManualClock(),
      random: Math.random,
      send() {},
      onChange() {},
      onFact() {},
      onConfigVersion() {},
      getConfigVersion: () => ({ version: 0, digest: "" }),
    });
    for (let at = 1; at < size; at++) membership.applyUpdate(createMember(at));
    membership.setSeeds(membership.getMembers());
    return membership;
  });
  collect();
  const used = process.memoryUsage().heapUsed - before;
  return memberships.length === copies ? used / copies : 0;
}

/** Measures the time until all hosts see a death, as the longest of three. */
function measureDetection(fixture: MembershipFixture): number {
  const { scheduler, names } = fixture;
  let longestMs = 0;
  for (const name of names.slice(0, 3)) {
    const startMs = scheduler.clock.monotonicMs();
    fixture.kill(name);
    const countHostsUnaware = () =>
      fixture.countHostsSeeing(name, ["alive", "suspect"]);
    while (
      countHostsUnaware() > 0 &&
      scheduler.clock.monotonicMs() - startMs < 60_000
    ) {
      scheduler.runUntil(scheduler.clock.monotonicMs() + 100);
    }
    longestMs = Math.max(longestMs, scheduler.clock.monotonicMs() - startMs);
  }
  return longestMs;
}

/** Measures the time until every live host has a fact that one host gossips. */
function measureFactPropagation(fixture: MembershipFixture): number {
  const { scheduler, names } = fixture;
  const startMs = scheduler.clock.monotonicMs();
  fixture.get(names.at(-1)!).gossipFact({ key: "a", version: 1, value: "x" });
  const others = names.length - 3 - 1;
  while (
    fixture.countHostsWithFact("a") < others &&
    scheduler.clock.monotonicMs() - startMs < 60_000
  ) {
    scheduler.runUntil(scheduler.clock.monotonicMs() + 100);
  }
  return scheduler.clock.monotonicMs() - startMs;
}

/**
 * Measures the processor time in which a host selects the owner of every
 * upstream after a change of members.
 */
function measureOwnerSelection(size: number): number {
  const count = Math.max(1, Math.round(size / TARGET_DATA_CENTRES));
  const hosts = Array.from({ length: count }, (_, at) => `entry-${at}`);
  const upstreams = Math.round(TARGET_UPSTREAMS * size / 390);
  const rounds = 20;
  const cpu = process.cpuUsage();
  for (let round = 0; round < rounds; round++) {
    for (let at = 0; at < upstreams; at++) {
      tryGetOwner(`slots/engine-${at}`, hosts);
    }
  }
  const { user, system } = process.cpuUsage(cpu);
  return (user + system) / 1000 / rounds;
}

/** Returns the slope of the least-squares line through the points. */
function getSlope(points: readonly (readonly [number, number])[]): number {
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
  let covariance = 0;
  let variance = 0;
  for (const [x, y] of points) {
    covariance += (x - meanX) * (y - meanY);
    variance += (x - meanX) ** 2;
  }
  return covariance / variance;
}
