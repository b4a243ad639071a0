/**
 * Many hosts that run the real membership protocol over a lossy network in
 * virtual time, for tests and measurements.
 *
 * @module
 */

import {
  createMembership,
  defaultMembershipOptions,
  type Fact,
  type Member,
  type Membership,
  type MembershipMessage,
  type MembershipOptions,
  type Seed,
} from "../membership/mod.ts";
import { createDatagramCodec } from "../peers/mod.ts";
import {
  createVirtualScheduler,
  type VirtualScheduler,
} from "./virtual_scheduler.ts";
import { createRandom } from "./random.ts";

/** Options of a fixture. */
export interface MembershipFixtureOptions {
  readonly hosts: number;
  readonly seed: number;
  /** Share of datagrams that are lost, from 0 to 1; 0 if absent. */
  readonly loss?: number;
  readonly options?: MembershipOptions;
  /** Passes datagrams through the real codec, otherwise as objects. */
  readonly encodesDatagrams?: boolean;
  /**
   * Hosts know all others from the start, and no update is queued any more;
   * true if absent.
   */
  readonly startsConverged?: boolean;
}

/** A change of a member that one host has seen. */
export interface RecordedChange {
  readonly atMs: number;
  readonly by: string;
  readonly member: Member;
}

/** Hosts and the network between them. */
export interface MembershipFixture {
  readonly scheduler: VirtualScheduler;
  readonly names: readonly string[];
  /** All changes that hosts have seen so far, in order. */
  readonly changes: RecordedChange[];
  get(name: string): Membership;
  /** Counts the live hosts that see the member in one of the states. */
  countHostsSeeing(member: string, states: readonly string[]): number;
  /** Counts the live hosts that hold the fact. */
  countHostsWithFact(key: string): number;
  kill(name: string): void;
  /** Pauses the process for `ms`, like SIGSTOP. */
  pause(name: string, ms: number): void;
  /** Restarts the host without state, with the incarnation. */
  restart(name: string, incarnation: number): void;
  /** Partitions the regions or heals the partition. */
  setPartitioned(isPartitioned: boolean): void;
  /** Sets the hosts that the platform lists from now on. */
  setRegisteredHosts(names: readonly string[]): void;
  /** Datagrams and bytes sent so far, IP and UDP headers included. */
  getTraffic(): {
    readonly datagrams: number;
    readonly bytes: number;
    readonly largestBytes: number;
  };
}

/** IP and UDP headers of a datagram. */
const HEADER_BYTES = 28;

const SAME_REGION_DELAY_MS = 1.5;
const CROSS_REGION_DELAY_MS = 20;
const SECRET = "secret-of-the-measured-fleet";

/**
 * Datagrams that the socket of a paused process holds; further ones are lost.
 */
const SOCKET_BUFFER = 200;

interface Node {
  readonly membership: Membership;
  readonly facts: Set<string>;
  /** Datagrams in the socket of the paused process. */
  readonly unread: (() => void)[];
  pausedUntilMs: number;
  isUp: boolean;
}

/**
 * Creates the hosts; those with odd numbers are in one region, the rest in
 * another.
 */
export function createMembershipFixture(
  {
    hosts,
    seed,
    loss = 0,
    options,
    encodesDatagrams = false,
    startsConverged = true,
  }: MembershipFixtureOptions,
): MembershipFixture {
  const scheduler = createVirtualScheduler();
  const { clock } = scheduler;
  const random = createRandom(seed);
  const codec = createDatagramCodec(SECRET);
  const periodMs = (options ?? defaultMembershipOptions).periodMs;
  const nodes = new Map<string, Node>();
  const changes: RecordedChange[] = [];
  const traffic = { datagrams: 0, bytes: 0, largestBytes: 0 };
  const names = Array.from({ length: hosts }, (_, at) => `entry-${at + 1}`);
  let registered = names;
  let isPartitioned = false;

  function isInOtherRegion(a: string, b: string): boolean {
    return Number(a.split("-")[1]) % 2 !== Number(b.split("-")[1]) % 2;
  }

  function createMember(name: string, incarnation: number): Member {
    const number = Number(name.split("-")[1]);
    return {
      host: name,
      incarnation,
      revision: 1,
      state: "alive",
      dataCentre: `lagos-dc-${number % 6 + 1}`,
      peerAddress: `10.20.${number >> 8}.${number & 255}:21051`,
      publicAddress: `10.20.${number >> 8}.${number & 255}:21001`,
    };
  }

  function getSeeds(): readonly Seed[] {
    return registered.map((name) => createMember(name, 0));
  }

  const addressOf = new Map(
    names.map((name) => [name, createMember(name, 0).peerAddress]),
  );
  const nameOf = new Map(
    [...addressOf].map(([name, address]) => [address, name]),
  );

  /** Counts the datagram and returns a function that decodes it. */
  function encode(message: MembershipMessage): () => MembershipMessage {
    traffic.datagrams++;
    if (!encodesDatagrams) return () => message;
    const bytes = codec.encode(message);
    traffic.bytes += bytes.length + HEADER_BYTES;
    traffic.largestBytes = Math.max(traffic.largestBytes, bytes.length);
    return () => codec.tryDecode(bytes)!;
  }

  function deliver(
    from: string,
    address: string,
    message: MembershipMessage,
  ): void {
    const decode = encode(message);
    const to = nameOf.get(address)!;
    const isLost = random() < loss;
    scheduler.after(
      isInOtherRegion(from, to) ? CROSS_REGION_DELAY_MS : SAME_REGION_DELAY_MS,
      () => {
        const node = nodes.get(to);
        if (
          isLost || !node?.isUp || (isPartitioned && isInOtherRegion(from, to))
        ) return;
        const receive = () =>
          node.membership.receive(decode(), addressOf.get(from)!);
        if (node.pausedUntilMs <= clock.monotonicMs()) receive();
        else if (node.unread.length < SOCKET_BUFFER) node.unread.push(receive);
      },
    );
  }

  function start(name: string, incarnation: number): void {
    const facts = new Set<string>();
    const membership = createMembership(createMember(name, incarnation), {
      clock,
      random,
      send: (address, message) => deliver(name, address, message),
      onChange: (member) =>
        changes.push({ atMs: clock.monotonicMs(), by: name, member }),
      onFact: (fact: Fact) => facts.add(fact.key),
      onConfigVersion() {},
      getConfigVersion: () => ({ version: 7, digest: "ab".repeat(32) }),
    }, options);
    membership.setSeeds(getSeeds());
    const node: Node = {
      membership,
      facts,
      unread: [],
      pausedUntilMs: 0,
      isUp: true,
    };
    nodes.set(name, node);
    const tick = () => {
      if (!node.isUp) return;
      const pausedMs = node.pausedUntilMs - clock.monotonicMs();
      if (pausedMs > 0) {
        scheduler.after(pausedMs, tick);
        return;
      }
      membership.tick();
      for (const receive of node.unread.splice(0)) receive();
      scheduler.after(periodMs, tick);
    };
    scheduler.after(random() * periodMs, tick);
  }

  for (const name of names) start(name, 1);
  if (startsConverged) {
    const all = names.map((name) => createMember(name, 1));
    for (const { membership } of nodes.values()) {
      // Sequence 0 belongs to no probe and marks a full sync: the receiver adds
      // the members, but does not gossip them.
      membership.receive({
        from: "",
        incarnation: 0,
        sequence: 0,
        isAck: true,
        wantsSync: false,
        probeTarget: "",
        configVersion: 7,
        configDigest: "",
        updates: all,
        facts: [],
        directFacts: [],
      }, "");
    }
    // Lets the updates that this causes finish before a measurement starts.
    scheduler.runUntil(60_000 + hosts * 100);
    changes.length = 0;
    Object.assign(traffic, { datagrams: 0, bytes: 0, largestBytes: 0 });
  }

  return {
    scheduler,
    names,
    changes,
    get: (name) => nodes.get(name)!.membership,
    countHostsSeeing(member, states) {
      let count = 0;
      for (const [name, { membership, isUp }] of nodes) {
        if (!isUp || name === member) continue;
        const view = membership.getMembers().find((each) =>
          each.host === member
        );
        if (states.includes(view?.state ?? "unknown")) count++;
      }
      return count;
    },
    countHostsWithFact: (key) =>
      [...nodes.values()].filter((node) => node.isUp && node.facts.has(key))
        .length,
    kill(name) {
      nodes.get(name)!.isUp = false;
    },
    pause(name, ms) {
      nodes.get(name)!.pausedUntilMs = clock.monotonicMs() + ms;
    },
    restart(name, incarnation) {
      nodes.get(name)!.isUp = false;
      start(name, incarnation);
    },
    setPartitioned(value) {
      isPartitioned = value;
    },
    setRegisteredHosts(value) {
      registered = [...value];
      for (const { membership } of nodes.values()) {
        membership.setSeeds(getSeeds());
      }
    },
    getTraffic: () => ({ ...traffic }),
  };
}
