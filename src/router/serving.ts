/**
 * The parts that the life of a request needs, joined for one router.
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
import type { Journal } from "./journal.ts";
import type { RouterMetrics } from "./metrics.ts";
import { createObservedUpstreams } from "./observed_upstreams.ts";
import type { Regions } from "./regions.ts";

/** By then a host that has just started knows all others. */
const MEMBERS_KNOWN_MS = 30_000;

/** What serving is joined from. */
export interface ServingParts {
  readonly settings: RouterSettings;
  readonly incarnation: number;
  readonly clock: Clock;
  readonly platform: Platform;
  readonly recorder: Recorder;
  readonly journal: Journal;
  readonly metrics: RouterMetrics;
  readonly regions: Regions;
  readonly membership: Membership;
  readonly fleet: Fleet;
  readonly drain: Drain;
  /** The fleet's slots, flushed after each act. */
  readonly slots: SlotClient;
  getDeployment(): Deployment | undefined;
  isSomeHostOutOfSight(): boolean;
}

/** What serving is made of. */
export interface Serving {
  readonly host: ServeHost;
  readonly backlog: Backlog;
  readonly quarantine: Quarantine;
  readonly claims: Claims;
}

/** Joins the parts. */
export function createServing(parts: ServingParts): Serving {
  const { settings, incarnation, clock, platform, membership, drain } = parts;
  const { fleet, regions, metrics, journal, getDeployment } = parts;
  const { host: id, dataCentre, fleetSecret } = settings;

  const quarantine = createQuarantine({
    id,
    clock,
    tables: platform.tables,
    commit: createGroupCommit(platform.tables),
    gossip: (record) => membership.spreadFact(createCrashFact(record, clock)),
    broadcast: (record) => membership.pushFact(createCrashFact(record, clock)),
    onQuarantined: journal.contentQuarantined,
    countHosts: () => membership.getMembers().length,
    isAnyHostUnreachable: parts.isSomeHostOutOfSight,
  });
  const claims = createClaims({
    id,
    incarnation,
    clock,
    tables: platform.tables,
    random: Math.random,
  });
  const backlog = createBacklog({ clock, random: Math.random });

  function isProcessGone(other: string, start: number): boolean {
    const member = membership.getMembers().find((each) => each.host === other);
    const isSettled = clock.wallMs() - incarnation > MEMBERS_KNOWN_MS;
    if (member === undefined) return isSettled;
    return member.state === "dead" || member.incarnation > start;
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
      crossesRegion: regions.isUpstreamFar,
      onRegionalBytes: metrics.addRegionalPayload,
    }),
    health: createUpstreamHealth(clock),
    occupancy: createUpstreamLocks(),
    quarantine,
    recorder: parts.recorder,
    backlog,
    retryBudget: createRetryBudget(clock),
    getDeployment,
    isDraining: drain.isRefusing,
    waitUntilGivingUp: drain.waitUntilGivingUp,
    isProcessDead: isProcessGone,
    charge,
    runDetached: drain.runDetached,
    onEnded: journal.requestEnded,
  };
  return { host, backlog, quarantine, claims };
}
