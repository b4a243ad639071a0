/**
 * Joins what this host knows of cold upstreams and its part of their limits.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { Decision } from "../diagnostics/mod.ts";
import type { Member } from "../membership/mod.ts";
import type { RouteTable } from "../routing/mod.ts";
import {
  type ColdUpstreams,
  createColdUpstreams,
  createWarmUps,
  type WarmUps,
} from "../warmup/mod.ts";
import { getServingHosts } from "./fleet_size.ts";
import type { EntrySettings } from "./types.ts";

/** Dependencies of the warm-ups of one host. */
export interface HostWarmUpsHost {
  readonly clock: Clock;
  readonly settings: EntrySettings;
  /** Monotonic milliseconds at which this host started. */
  readonly startedMs: number;
  tryGetRoutes(): RouteTable | undefined;
  /** All known hosts, including this one and dead ones. */
  getMembers(): readonly Member[];
  log(decision: Decision): void;
}

/** The warm-ups of one host. */
export interface HostWarmUps {
  readonly cold: ColdUpstreams;
  readonly warmUps: WarmUps;
}

/** Creates the warm-ups of a host that knows no upstreams. */
export function createHostWarmUps(host: HostWarmUpsHost): HostWarmUps {
  const { clock, settings, startedMs } = host;
  const getRegion = (dataCentre: string) => settings.regions.get(dataCentre);
  const tryGetLimit = (service: string) =>
    host.tryGetRoutes()?.tryGetWarmUpLimit(service);
  const cold = createColdUpstreams({
    clock,
    tryGetLimit,
    onCold({ id, service, incarnation }, because, leftMs) {
      host.log({
        event: "upstream-cold",
        upstream: id,
        service,
        incarnation,
        because,
        leftMs: Math.round(leftMs),
      });
    },
  });
  const warmUps = createWarmUps({
    clock,
    cold,
    self: settings.peerAddress,
    startedMs,
    tryGetLimit,
    getRegion,
    getHosts: () =>
      getServingHosts(host.getMembers()).map((each) => ({
        address: each.peerAddress,
        region: getRegion(each.dataCentre),
        isAlive: each.state === "alive",
      })),
  });
  return { cold, warmUps };
}
