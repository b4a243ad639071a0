/**
 * What the router's decisions are measured against, as policies for the same
 * fixture. Each is given the best it could have: a baseline that needs facts
 * from other hosts gets them at once and free of charge.
 *
 * @module
 */

import {
  type CounterExchange,
  createTreeExchange,
  defaultFleetPolicy,
  type ExchangeTransport,
  type FleetHost,
  type FleetPolicy,
} from "../fleet/mod.ts";
import { getOrCreate } from "../core/mod.ts";
import { createServiceCounters, type TeamService } from "../fairness/mod.ts";
import type { ServiceCounters } from "../fairness/mod.ts";
import type { GrantTarget, PickInput } from "../slots/mod.ts";

/** What a policy may know of the whole fixture. */
export interface PolicyWorld {
  /** Arrival of the oldest request of the team that waits at the host. */
  tryGetOldestMs(host: string, team: string): number | undefined;
  /** Service that the team got by way of the host, divided by its weight. */
  getHostService(host: string, team: string): number;
}

/** Makes a policy for the fixture's world. */
export type CreatePolicy = (world: PolicyWorld) => FleetPolicy;

/** The baselines by the names that reports use. */
export const baselines: Readonly<Record<string, CreatePolicy>> = {
  firstCome: createFirstCome,
  hostAlone: createHostAlone,
  broadcast: createBroadcast,
};

/** The decisions as the router runs them. */
export function createOurs(): FleetPolicy {
  return defaultFleetPolicy;
}

/** First come, first served, over all hosts and teams. */
function createFirstCome(world: PolicyWorld): FleetPolicy {
  return {
    ...defaultFleetPolicy,
    createExchange: createNoExchange,
    tryPick: (input) =>
      tryPickLeast(
        input,
        ({ entryHost, team }) =>
          world.tryGetOldestMs(entryHost, team) ?? Infinity,
      ),
  };
}

/** Hosts take turns, and each is fair among its own teams alone. */
function createHostAlone(world: PolicyWorld): FleetPolicy {
  const lastTurn = new Map<string, number>();
  let turn = 0;
  return {
    ...defaultFleetPolicy,
    createExchange: createNoExchange,
    tryPick(input) {
      const next = tryPickLeast(
        input,
        ({ entryHost }) => lastTurn.get(entryHost) ?? 0,
      );
      if (next === undefined) return undefined;
      lastTurn.set(next.entryHost, ++turn);
      return tryPickLeast(
        input,
        ({ entryHost, team }) =>
          entryHost === next.entryHost
            ? world.getHostService(entryHost, team)
            : Infinity,
      );
    },
  };
}

/** Every host tells its own sums to every other host. */
function createBroadcast(): FleetPolicy {
  return { ...defaultFleetPolicy, createExchange: createBroadcastExchange };
}

function tryPickLeast(
  input: PickInput,
  getKey: (pick: GrantTarget) => number,
): GrantTarget | undefined {
  let picked: GrantTarget | undefined;
  let least = Infinity;
  for (const [team, { local, remote }] of input.waiting) {
    for (const entryHost of [...local.keys(), ...remote.keys()]) {
      const key = getKey({ entryHost, team });
      if (key >= least) continue;
      least = key;
      picked = { entryHost, team };
    }
  }
  return picked;
}

function createNoExchange(
  host: FleetHost,
  transport: ExchangeTransport,
): CounterExchange {
  return { ...createTreeExchange(host, transport), exchange() {} };
}

function createBroadcastExchange(
  host: FleetHost,
  transport: ExchangeTransport,
): CounterExchange {
  const leaves = new Map<string, ServiceCounters>();
  const ownSums = new Map<string, Map<string, number>>();
  const waiting = new Map<string, Set<string>>();
  let sequence = 0;

  function createLeaf(service: string): ServiceCounters {
    const counters = createServiceCounters({
      nowMs: host.clock.monotonicMs,
      createSession: () => 1,
    });
    const sums = getOrCreate(ownSums, service, () => new Map());
    const teams = getOrCreate(waiting, service, () => new Set());
    return {
      ...counters,
      charge(team, amount) {
        counters.charge(team, amount);
        sums.set(team, (sums.get(team) ?? 0) + amount);
      },
      setWaiting(team, isWaiting) {
        counters.setWaiting(team, isWaiting);
        if (isWaiting) teams.add(team);
        else teams.delete(team);
      },
    };
  }

  function getLeaf(service: string): ServiceCounters {
    return getOrCreate(leaves, service, () => createLeaf(service));
  }

  return {
    getLeaf,
    getLeaves: () => leaves,
    exchange() {
      sequence++;
      for (const [service, counters] of leaves) {
        const flags = waiting.get(service)!;
        const teams = [...ownSums.get(service)!].map(([team, amount]) => ({
          team,
          amount,
          backlogged: flags.has(team),
          floor: 0,
        } satisfies TeamService));
        const largest = counters.getLargest();
        const message = { sequence, session: 1, first: true, largest, teams };
        for (const { host: peer } of host.membership.getUsable()) {
          if (peer === host.id) continue;
          transport.sendReport(peer, {
            service,
            level: 1,
            childLevel: 0,
            message,
          });
        }
      }
    },
    receiveReport(peer, { service, message }) {
      getLeaf(service).receiveReport(peer, message);
    },
    receiveView() {},
    removeHost(peer) {
      for (const counters of leaves.values()) counters.clearChildBacklog(peer);
    },
  };
}
