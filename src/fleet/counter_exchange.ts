/**
 * Exchange of service counters over a tree for each service, with the levels
 * slot owner (leaf), data centre, region and root. The node of a level is a
 * live host chosen by rendezvous hashing, so that no host has a special role,
 * and only one exchange for each region crosses the regional link.
 *
 * A region that is cut off sees only its own hosts. One of them becomes the
 * root for it, and the region continues on its own.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import {
  type CounterReport,
  type CounterView,
  createServiceCounters,
  type ServiceCounters,
} from "../fairness/mod.ts";
import type { Member } from "../membership/mod.ts";
import { getRegion } from "../placement/mod.ts";
import type { FleetHost } from "./types.ts";

/** Levels of the tree, from the slot owners upwards. */
export const LEAF_LEVEL = 0;
const DATA_CENTRE_LEVEL = 1;
const REGION_LEVEL = 2;
const ROOT_LEVEL = 3;

/**
 * Up to this number of hosts a region has no nodes for its data centres: one
 * node can answer all of its hosts within its traffic budget, and each level
 * adds the delay of two exchanges.
 */
export const MAX_FLAT_REGION_HOSTS = 16;

/**
 * Time that a node continues after another host is chosen for it, in ms, so
 * that it can pass on what it has counted.
 */
const RETIREMENT_MS = 10_000;

const SESSION_RANGE = 2 ** 32 - 1;

/** A message of the exchange, with the node that it is addressed to. */
export interface Addressed<T> {
  readonly service: string;
  /** Level of the parent. */
  readonly level: number;
  /** Level of the child; one host may be a child on two levels. */
  readonly childLevel: number;
  readonly message: T;
}

/** Sends the exchange's messages to other hosts. */
export interface ExchangeTransport {
  sendReport(peer: string, report: Addressed<CounterReport>): void;
  sendView(peer: string, view: Addressed<CounterView>): void;
}

/** The counter exchange as one host takes part in it. */
export interface CounterExchange {
  /** Counters of the leaf node, by which this host's slot owners decide. */
  getLeaf(service: string): ServiceCounters;
  getLeaves(): ReadonlyMap<string, ServiceCounters>;
  /** Runs one exchange; must be called once in each period. */
  exchange(): void;
  receiveReport(peer: string, report: Addressed<CounterReport>): void;
  receiveView(peer: string, view: Addressed<CounterView>): void;
  /** Clears the backlog that the host reported, since a dead host has none. */
  removeHost(peer: string): void;
}

/** Creates one host's part in an exchange. */
export type CreateExchange = (
  host: FleetHost,
  transport: ExchangeTransport,
) => CounterExchange;

interface Node {
  readonly service: string;
  readonly level: number;
  readonly counters: ServiceCounters;
  /**
   * Time since which another host is chosen for the node, in ms; undefined
   * while this host is.
   */
  retiredMs: number | undefined;
}

/** Creates the exchange over the tree. */
export function createTreeExchange(
  host: FleetHost,
  transport: ExchangeTransport,
): CounterExchange {
  const nodes = new Map<string, Node>();
  const leaves = new Map<string, ServiceCounters>();

  function createCounters(): ServiceCounters {
    return createServiceCounters({
      nowMs: host.clock.monotonicMs,
      createSession: () => 1 + Math.floor(host.random() * SESSION_RANGE),
    });
  }

  function getNode(service: string, level: number): Node {
    return getOrCreate(nodes, getKey(service, level), () => ({
      service,
      level,
      counters: createCounters(),
      retiredMs: undefined,
    }));
  }

  function getLeaf(service: string): ServiceCounters {
    return getOrCreate(
      leaves,
      service,
      () => getNode(service, LEAF_LEVEL).counters,
    );
  }

  function isInScope(member: Member, level: number): boolean {
    if (level === DATA_CENTRE_LEVEL) {
      return member.dataCentre === host.dataCentre;
    }
    if (level !== REGION_LEVEL) return true;
    const deployment = host.getDeployment();
    return deployment !== undefined &&
      getRegion(deployment, member.dataCentre) ===
        getRegion(deployment, host.dataCentre);
  }

  function getCandidates(level: number): readonly string[] {
    return host.membership.getUsable()
      .filter((member) => isInScope(member, level))
      .map((member) => member.host);
  }

  function getParentLevel(level: number): number {
    if (level !== LEAF_LEVEL) return level + 1;
    const isFlat = getCandidates(REGION_LEVEL).length <= MAX_FLAT_REGION_HOSTS;
    return isFlat ? REGION_LEVEL : DATA_CENTRE_LEVEL;
  }

  function tryGetNodeHost(service: string, level: number): string | undefined {
    const candidates = getCandidates(level);
    return host.policy.tryGetOwner(`counters/${level}/${service}`, candidates);
  }

  function report(node: Node): void {
    const { service, counters } = node;
    const level = getParentLevel(node.level);
    const parent = node.level === ROOT_LEVEL
      ? undefined
      : tryGetNodeHost(service, level);
    counters.setParent(parent && `${level}/${parent}`);
    const message = counters.tryGetReport();
    if (message === undefined || parent === undefined) return;
    if (parent === host.id) {
      const parentCounters = getNode(service, level).counters;
      const name = getChildName(host.id, node.level);
      counters.receiveView(parentCounters.receiveReport(name, message));
    } else {
      const childLevel = node.level;
      transport.sendReport(parent, { service, level, childLevel, message });
    }
  }

  function updateRetirement(key: string, node: Node): void {
    if (node.level === LEAF_LEVEL) return;
    const nowMs = host.clock.monotonicMs();
    if (tryGetNodeHost(node.service, node.level) === host.id) {
      node.retiredMs = undefined;
      return;
    }
    node.retiredMs ??= nowMs;
    if (nowMs - node.retiredMs >= RETIREMENT_MS) nodes.delete(key);
  }

  return {
    getLeaf,
    getLeaves: () => leaves,
    exchange() {
      for (const [key, node] of nodes) updateRetirement(key, node);
      for (let level = LEAF_LEVEL; level <= ROOT_LEVEL; level++) {
        for (const node of [...nodes.values()]) {
          if (node.level === level) report(node);
        }
      }
    },
    receiveReport(peer, { service, level, childLevel, message }) {
      const view = getNode(service, level).counters
        .receiveReport(getChildName(peer, childLevel), message);
      transport.sendView(peer, { service, level, childLevel, message: view });
    },
    receiveView(_peer, { service, childLevel, message }) {
      nodes.get(getKey(service, childLevel))?.counters.receiveView(message);
    },
    removeHost(peer) {
      for (const { counters } of nodes.values()) {
        for (let level = LEAF_LEVEL; level < ROOT_LEVEL; level++) {
          counters.clearChildBacklog(getChildName(peer, level));
        }
      }
    },
  };
}

function getKey(service: string, level: number): string {
  return `${level}/${service}`;
}

function getChildName(peer: string, level: number): string {
  return `${level}/${peer}`;
}
