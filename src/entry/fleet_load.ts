/**
 * Joins what an entry host knows of the fleet's load: its view, the tree along
 * which hosts report, and the limits and weights of upstreams that hosts learn
 * together.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { Decision } from "../diagnostics/mod.ts";
import {
  type AggregationTree,
  createAggregationTree,
  createLoadView,
  createUpstreamStatsReporter,
  type LoadPeer,
  type LoadView,
  type UpstreamStatsReporter,
} from "../load/mod.ts";
import { getNameDigest } from "../peers/mod.ts";
import type { RouteTable } from "../routing/mod.ts";
import {
  createServicePacings,
  type ServicePacings,
} from "./service_pacings.ts";
import {
  createUpstreamPacings,
  type UpstreamPacings,
  type UpstreamPacingsHost,
} from "./upstream_pacings.ts";

/** Dependencies, supplied by the process. */
export interface FleetLoadHost {
  readonly clock: Clock;
  /** A clock on which stalls of this process don't make reports old. */
  readonly stallTolerantClock: Clock;
  readonly self: LoadPeer;
  /** Whether the owners of upstreams admit prompts. */
  readonly grantsPrompts: boolean;
  /** The hosts that are alive, this one included. */
  getAlive(): readonly LoadPeer[];
  /** Whether the host may get new work. */
  isUsable(peerAddress: string): boolean;
  /** Number of the listed hosts while this one joins them; otherwise 0. */
  countListedHosts(): number;
  tryGetRoutes(): RouteTable | undefined;
  readonly directory: UpstreamPacingsHost["directory"];
  log(decision: Decision): void;
}

/** What an entry host knows of the fleet's load. */
export interface FleetLoad {
  readonly load: LoadView;
  readonly tree: AggregationTree;
  readonly pacings: ServicePacings;
  readonly upstreamStats: UpstreamStatsReporter;
  readonly upstreamPacings: UpstreamPacings;
}

/** Creates the parts of a host that knows of no load. */
export function createFleetLoad(host: FleetLoadHost): FleetLoad {
  const { clock, stallTolerantClock, self, log } = host;
  const load = createLoadView({
    clock: stallTolerantClock,
    getDigest: getNameDigest,
    isAlive: host.isUsable,
    getStatedCapacity: () => host.tryGetRoutes()?.config.tokensPerSecond ?? 0,
    getLearned: () =>
      pacings.getStats().map(([service, stats]) => ({
        ...stats,
        service: getNameDigest(service),
      })),
  });
  const pacings = createServicePacings({
    clock,
    getRemoteStats: load.getOthersLearned,
    tryGetTargetMs: (service) =>
      host.tryGetRoutes()?.tryGetPromptTargetMs(service),
    log,
  });
  const tree = createAggregationTree({
    clock: stallTolerantClock,
    self,
    getHosts: host.getAlive,
    countListedHosts: host.countListedHosts,
  });
  const upstreamStats = createUpstreamStatsReporter({
    clock: stallTolerantClock,
    self,
    tree: { ...tree, isUsed: () => host.grantsPrompts && tree.isUsed() },
    createOwnStats: () => upstreamPacings.getStats(),
  });
  const upstreamPacings = createUpstreamPacings({
    clock,
    services: pacings,
    directory: host.directory,
    countHosts: () => host.grantsPrompts ? host.getAlive().length : 0,
    getDigest: getNameDigest,
    getOthersStats: upstreamStats.getOthersStats,
    log,
  });
  return { load, tree, pacings, upstreamStats, upstreamPacings };
}
