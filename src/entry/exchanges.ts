/**
 * What entry hosts tell each other by datagrams of their own, each kind on a port
 * of its own: loads, statistics of upstreams, and where shared prefixes are.
 *
 * @module
 */

import type * as Effect from "effect/Effect";
import {
  type Clock,
  offsetPort,
  type OpenOwned,
  PORT_OFFSETS,
} from "../core/mod.ts";
import type {
  AggregationTree,
  LoadPeer,
  LoadView,
  UpstreamStatsReporter,
} from "../load/mod.ts";
import type { PlacementAnnouncer } from "../prefixes/mod.ts";
import { openLoadExchange } from "./load_exchange.ts";
import { openPrefixExchange } from "./prefix_exchange.ts";
import { openUpstreamStatsExchange } from "./upstream_stats_exchange.ts";

/** What is exchanged, and with whom. */
export interface ExchangesHost {
  readonly self: LoadPeer;
  readonly clock: Clock;
  readonly load: LoadView;
  readonly tree: AggregationTree;
  readonly upstreamStats: UpstreamStatsReporter;
  /** Called after each round of statistics. */
  onStatsRound(): void;
  readonly announcer: PlacementAnnouncer;
  getHosts(): readonly LoadPeer[];
  /** Creates the function that logs what failed in the task. */
  logFailedTask(task: string): (reason: string) => void;
  readonly open: OpenOwned;
}

/** Opens the sockets; returns what is to be run until the host ends. */
export async function openExchanges(
  host: ExchangesHost,
): Promise<readonly Effect.Effect<never>[]> {
  const { self, logFailedTask } = host;
  const { peerAddress } = self;

  const openSocket = <T extends AsyncDisposable>(
    offset: number,
    run: () => Promise<T>,
  ) => host.open(`UDP ${offsetPort(peerAddress, offset)}`, run);

  const loads = await openSocket(
    PORT_OFFSETS.loadReports,
    () =>
      openLoadExchange({
        clock: host.clock,
        self,
        view: host.load,
        tree: host.tree,
        getHosts: host.getHosts,
        onFailed: logFailedTask("load reports"),
      }),
  );
  const stats = await openSocket(
    PORT_OFFSETS.upstreamStats,
    () =>
      openUpstreamStatsExchange({
        peerAddress,
        reporter: host.upstreamStats,
        onRound: host.onStatsRound,
        onFailed: logFailedTask("statistics of upstreams"),
      }),
  );
  await openSocket(
    PORT_OFFSETS.placements,
    () =>
      openPrefixExchange({
        peerAddress,
        announcer: host.announcer,
        onFailed: logFailedTask("placements"),
      }),
  );
  return [loads.run, stats.run];
}
