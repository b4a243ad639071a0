/**
 * The servers of an entry host beside the one for callers' requests: readiness,
 * which hosts callers should use, and metrics.
 *
 * @module
 */

import type { RequestListener } from "node:http";
import type { OpenOwned } from "../core/mod.ts";
import type { Member } from "../membership/mod.ts";
import type { RouteTable } from "../routing/mod.ts";
import { chooseAddresses } from "./caller_addresses.ts";
import {
  createMetricsListener,
  createReadinessListener,
  createResolveListener,
  listen,
} from "./servers.ts";
import type { EntryHost, EntryProtocol, EntrySettings } from "./types.ts";

/** What the servers answer from. */
export interface SideServersHost {
  readonly settings: EntrySettings;
  readonly protocol: EntryProtocol;
  /** Where metrics are served, if at all. */
  readonly metrics: EntryHost["metrics"];
  renderMetrics(): Promise<string>;
  isReady(): boolean;
  getMembers(): readonly Member[];
  /** Whether the host takes no further callers. */
  isFull(member: Member): boolean;
  tryGetRoutes(): RouteTable | undefined;
  onError(reason: string): void;
  readonly open: OpenOwned;
}

/**
 * How long callers may cache a list of hosts, in ms. It is short because hosts
 * come and go within seconds.
 */
const RESOLVE_TTL_MS = 2_000;

/** Opens the servers one after the other. */
export async function openSideServers(host: SideServersHost): Promise<void> {
  const { settings, protocol, metrics } = host;

  const openServer = (address: string, onRequest: RequestListener) =>
    host.open(
      `TCP ${address}`,
      () => listen(address, onRequest, host.onError),
    );

  await openServer(
    settings.readinessAddress,
    createReadinessListener(protocol, host.isReady),
  );
  await openServer(
    settings.resolveAddress,
    createResolveListener(protocol, {
      ttlMs: Math.min(RESOLVE_TTL_MS, settings.maxResolveTtlMs),
      getAddresses: (query) =>
        chooseAddresses({
          query,
          members: host.getMembers(),
          isFull: host.isFull,
          getRegion: (dataCentre) => settings.regions.get(dataCentre),
          allowedRegions: host.tryGetRoutes()
            ?.getAllowedRegionsOfHostName(query.hostName),
        }),
    }),
  );
  if (metrics === undefined) return;
  const [ip] = settings.callerAddress.split(":");
  await openServer(
    `${ip}:${metrics.port}`,
    createMetricsListener(metrics.path, host.renderMetrics),
  );
}
