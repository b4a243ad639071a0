/**
 * Creates and connects the modules that serve requests at one router.
 *
 * @module
 */

import {
  type Backlog,
  createBacklog,
  createRetryBudget,
} from "../admission/mod.ts";
import { type Claims, createClaims, createGroupCommit } from "../claims/mod.ts";
import type { RouterSettings } from "../config/mod.ts";
import type { Clock } from "../core/mod.ts";
import type { Fleet } from "../fleet/mod.ts";
import type { Membership } from "../membership/mod.ts";
import type { Platform } from "../platform/mod.ts";
import { createQuarantine, type Quarantine } from "../quarantine/mod.ts";
import type { ServeHost } from "../requests/types.ts";
import type { SlotClient } from "../slots/mod.ts";
import type { Recorder } from "../timeline/mod.ts";
import type { Deployment } from "../types.ts";
import {
  createHttpUpstreams,
  createUpstreamHealth,
  createUpstreamLocks,
} from "../upstreams/mod.ts";
import { createCrashFact } from "./crash_facts.ts";
import type { Drain } from "./drain.ts";
import type { EventReporter } from "./event_reporter.ts";
import type { RouterMetrics } from "./metrics.ts";
import { createObservedUpstreams } from "./observed_upstreams.ts";
import type { Regions } from "./regions.ts";

/** Time after which a host that has just started knows all other hosts. */
const MEMBERSHIP_SETTLE_MS = 30_000;

/** Modules and settings from which serving is created. */
export interface ServingDependencies {
  readonly settings: RouterSettings;
  readonly incarnation: number;
  readonly clock: Clock;
  readonly platform: Platform;
  readonly recorder: Recorder;
  readonly reporter: EventReporter;
  readonly metrics: RouterMetrics;
  readonly regions: Regions;
  readonly membership: Membership;
  readonly fleet: Fleet;
  readonly drain: Drain;
  /** The fleet's slots, wrapped to schedule flushes. */
  readonly slots: SlotClient;
  getDeployment(): Deployment | undefined;
  isAnyHostUnreachable(): boolean;
}

/** Modules that serve requests. */
export interface Serving {
  readonly host: ServeHost;
  readonly backlog: Backlog;
  readonly quarantine: Quarantine;
  readonly claims: Claims;
}

/** Creates the modules that serve requests. */
export function createServing(parts: ServingDependencies): Serving {
  const { settings, incarnation, clock, platform, membership, drain } = parts;
  const { fleet, regions, metrics, reporter, getDeployment } = parts;
  const { host: id, dataCentre, fleetSecret } = settings;

  const quarantine = createQuarantine({
    id,
    clock,
    tables: platform.tables,
    commit: createGroupCommit(platform.tables),
    gossip: (record) => membership.gossipFact(createCrashFact(record, clock)),
    broadcast: (record) =>
      membership.broadcastFact(createCrashFact(record, clock)),
    onQuarantined: reporter.contentQuarantined,
    countHosts: () => membership.getMembers().length,
    isAnyHostUnreachable: parts.isAnyHostUnreachable,
  });
  const claims = createClaims({
    id,
    incarnation,
    clock,
    tables: platform.tables,
    random: Math.random,
  });
  const backlog = createBacklog({ clock, random: Math.random });

  function isProcessDead(hostId: string, startedMs: number): boolean {
    const member = membership.getMembers().find((each) => each.host === hostId);
    const isSettled = clock.wallMs() - incarnation > MEMBERSHIP_SETTLE_MS;
    if (member === undefined) return isSettled;
    return member.state === "dead" || member.incarnation > startedMs;
  }

  function charge(service: string, team: string, cost: number): void {
    const teams = getDeployment()?.teams ?? [];
    const weight = teams.find((each) => each.id === team)?.weight ?? 1;
    fleet.getCounters().get(service)?.charge(team, cost / weight);
  }

  const host: ServeHost = {
    id,
    dataCentre,
    incarnation,
    fleetSecret,
    clock,
    slots: parts.slots,
    claims,
    upstreams: createObservedUpstreams(createHttpUpstreams(), {
      crossesRegion: regions.isUpstreamInOtherRegion,
      onRegionalBytes: metrics.addRegionalPayload,
    }),
    health: createUpstreamHealth(clock),
    locks: createUpstreamLocks(),
    quarantine,
    recorder: parts.recorder,
    backlog,
    retryBudget: createRetryBudget(clock),
    getDeployment,
    isDraining: drain.isRefusing,
    waitUntilDrainTimeout: drain.waitUntilDrainTimeout,
    isProcessDead,
    charge,
    runDetached: drain.runDetached,
    onEnded: reporter.requestEnded,
  };
  return { host, backlog, quarantine, claims };
}
