/**
 * Policies that the router's decisions are compared with, run on the same
 * fixture. Each baseline works under ideal conditions: facts that it needs from
 * other hosts are available immediately and cost no traffic.
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

/** Fleet-wide facts that a baseline may use. */
export interface FleetState {
  /** Arrival time of the team's oldest request that waits at the host. */
  tryGetOldestMs(host: string, team: string): number | undefined;
  /** Service that the team received through the host, divided by its weight. */
  getHostService(host: string, team: string): number;
}

/** Creates a policy for a fixture. */
export type CreatePolicy = (fleetState: FleetState) => FleetPolicy;

/** The baselines, by their names in reports. */
export const baselines: Readonly<Record<string, CreatePolicy>> = {
  firstCome: createFirstComeFirstServed,
  hostAlone: createRoundRobinOverHosts,
  broadcast: createBroadcast,
};

/** Creates the policy that the router uses. */
export function createRouterPolicy(): FleetPolicy {
  return defaultFleetPolicy;
}

/** Grants slots first come, first served over all hosts and teams. */
function createFirstComeFirstServed(fleetState: FleetState): FleetPolicy {
  return {
    ...defaultFleetPolicy,
    createExchange: createNoExchange,
    tryPick: (input) =>
      tryPickMinimum(
        input,
        ({ entryHost, team }) =>
          fleetState.tryGetOldestMs(entryHost, team) ?? Infinity,
      ),
  };
}

/**
 * Grants slots to hosts round robin; each host is fair only among its own
 * teams.
 */
function createRoundRobinOverHosts(fleetState: FleetState): FleetPolicy {
  const lastGrant = new Map<string, number>();
  let grants = 0;
  return {
    ...defaultFleetPolicy,
    createExchange: createNoExchange,
    tryPick(input) {
      const next = tryPickMinimum(
        input,
        ({ entryHost }) => lastGrant.get(entryHost) ?? 0,
      );
      if (next === undefined) return undefined;
      lastGrant.set(next.entryHost, ++grants);
      return tryPickMinimum(
        input,
        ({ entryHost, team }) =>
          entryHost === next.entryHost
            ? fleetState.getHostService(entryHost, team)
            : Infinity,
      );
    },
  };
}

/** Every host sends the service of its teams to every other host. */
function createBroadcast(): FleetPolicy {
  return { ...defaultFleetPolicy, createExchange: createBroadcastExchange };
}

function tryPickMinimum(
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
