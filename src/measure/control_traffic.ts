/**
 * Scenario `control-traffic`: measures the control messages between hosts while
 * a tenth of the teams are backlogged and the others send their usual load.
 * From 50 hosts on it runs one of the eleven services of the target size.
 *
 * @module
 */

import { defaultPeerLinkOptions } from "../peers/mod.ts";
import {
  baselines,
  type CreatePolicy,
  createRouterPolicy,
} from "./baselines.ts";
import { FLEET_SLOTS, pickEntryHosts, TEAM_WEIGHTS } from "./contended.ts";
import {
  createFleetFixture,
  defaultFixtureTimes,
  type FleetFixture,
  PACKET_BYTES,
} from "./fleet_fixture.ts";
import type { ScenarioOptions } from "./main.ts";
import { createRandom, type Random } from "./random.ts";
import type { Figure, Report } from "./report.ts";
import {
  createDeployment,
  type DeploymentSizes,
  keepBacklogged,
  pickMixedCost,
  sendAtRate,
  SERVICE,
} from "./workload.ts";

/**
 * Number of hosts from which a run represents one service of the target size.
 */
const TARGET_SIZE_MIN_HOSTS = 50;
const TARGET_SERVICES = 11;
/** Share of the teams that are backlogged. */
const BACKLOGGED_SHARE = 0.1;

/** Share of the fleet that the other teams use. */
const BACKGROUND_UTILISATION = 0.6;

/** Mean time that a request with mixed costs uses a slot, in seconds. */
const MEAN_REQUEST_SECONDS = 1.76;

/** A ping or a pong is a frame of two bytes, in a packet of its own. */
const PING_BYTES = PACKET_BYTES + 2;

const TARGET_BYTES_PER_SECOND = 3_000;

interface Sizes extends DeploymentSizes {
  readonly warmUpMs: number;
  readonly endMs: number;
  /** Number of services of the deployment, of which the run simulates one. */
  readonly services: number;
}

interface Result {
  readonly bytesPerRequest: number;
  readonly crossRegionShare: number;
  /**
   * Mean bytes per second of a host for one service, packet headers included.
   */
  readonly bytesPerHost: number;
  /** Bytes per second of the host that sent most, for one service. */
  readonly busiestHostBytes: number;
  readonly links: number;
  readonly byKind: ReadonlyMap<string, number>;
}

/**
 * Runs the scenario with the router's policy and with the broadcast baseline.
 */
export function measureControlTraffic(options: ScenarioOptions): Report {
  const sizes = getSizes(options.hosts);
  const routerResult = run(options, {
    sizes,
    createPolicy: createRouterPolicy,
  });
  const broadcast = run(options, {
    sizes,
    createPolicy: baselines.broadcast!,
  });
  const { pingIntervalMs: pingMs, idlePingIntervalMs: idlePingMs } =
    defaultPeerLinkOptions;
  const getPings = (periodMs: number) =>
    2 * routerResult.links * PING_BYTES * 1_000 / periodMs;
  const figure = (name: string, value: number, baseline?: number): Figure => ({
    name,
    value,
    baselines: baseline === undefined ? {} : { broadcast: baseline },
  });
  return {
    scenario: "control-traffic",
    ...options,
    figures: [
      {
        ...figure(
          "control_bytes_per_request",
          routerResult.bytesPerRequest,
          broadcast.bytesPerRequest,
        ),
        bound: { kind: "at-most", value: broadcast.bytesPerRequest / 5 },
      },
      {
        ...figure(
          "control_bytes_per_second_per_daemon",
          routerResult.bytesPerHost * sizes.services,
          broadcast.bytesPerHost * sizes.services,
        ),
        bound: { kind: "at-most", value: TARGET_BYTES_PER_SECOND },
      },
      figure(
        "control_bytes_per_second_of_busiest_daemon_in_one_service",
        routerResult.busiestHostBytes,
        broadcast.busiestHostBytes,
      ),
      figure(
        "regional_link_share",
        routerResult.crossRegionShare,
        broadcast.crossRegionShare,
      ),
      figure(
        "links_per_daemon_in_one_service",
        routerResult.links,
        broadcast.links,
      ),
      figure(
        "ping_bytes_per_second_in_one_service_all_links_needed",
        getPings(pingMs),
      ),
      figure(
        "ping_bytes_per_second_in_one_service_no_link_needed",
        getPings(idlePingMs / 2),
      ),
      ...[...routerResult.byKind].map(([kind, bytes]) =>
        figure(`payload_bytes_per_request_${kind}`, bytes)
      ),
    ],
  };
}

function getSizes(hosts: number): Sizes {
  if (hosts < TARGET_SIZE_MIN_HOSTS) {
    return {
      regions: 2,
      dataCentresPerRegion: 2,
      upstreams: 8,
      slotsPerUpstream: FLEET_SLOTS / 8,
      weights: TEAM_WEIGHTS,
      expectedCost: 60,
      warmUpMs: 10_000,
      endMs: 70_000,
      services: 1,
    };
  }
  return {
    regions: 2,
    dataCentresPerRegion: 3,
    upstreams: 55,
    slotsPerUpstream: 11,
    weights: Array(29).fill(1),
    expectedCost: 60,
    warmUpMs: 4_000,
    endMs: 10_000,
    services: TARGET_SERVICES,
  };
}

function run(
  { seed, hosts }: ScenarioOptions,
  { sizes, createPolicy }: { sizes: Sizes; createPolicy: CreatePolicy },
): Result {
  const random = createRandom(seed);
  const fixture = createFleetFixture({
    ...defaultFixtureTimes,
    deployment: createDeployment(sizes),
    hosts,
    seed,
    createPolicy,
  });
  sendLoad(fixture, sizes, random);
  fixture.scheduler.runUntil(sizes.warmUpMs);
  const before = readTotals(fixture);
  fixture.scheduler.runUntil(sizes.endMs);
  const after = readTotals(fixture);
  const requests = after.answered - before.answered;
  const seconds = (sizes.endMs - sizes.warmUpMs) / 1_000;
  const sent = after.sent.map((bytes, at) => bytes - before.sent[at]!);
  const bytes = after.bytes - before.bytes;
  return {
    bytesPerRequest: bytes / requests,
    crossRegionShare: (after.crossRegionBytes - before.crossRegionBytes) /
      bytes,
    bytesPerHost: bytes / hosts / seconds,
    busiestHostBytes: Math.max(...sent) / seconds,
    links: fixture.hosts.reduce(
      (sum, each) => sum + each.fleet.getLinkCount(),
      0,
    ) / hosts,
    byKind: new Map(
      [...after.byKind].map(([kind, sum]) => [
        kind,
        (sum - (before.byKind.get(kind) ?? 0)) / requests,
      ]),
    ),
  };
}

function sendLoad(fixture: FleetFixture, sizes: Sizes, random: Random): void {
  const { teams } = fixture.deployment;
  const { hosts } = fixture;
  const slots = sizes.upstreams * sizes.slotsPerUpstream;
  const backlogged = Math.ceil(teams.length * BACKLOGGED_SHARE);
  const backgroundRate = slots / MEAN_REQUEST_SECONDS * BACKGROUND_UTILISATION;
  teams.forEach((team, at) => {
    const isBacklogged = at % Math.floor(1 / BACKLOGGED_SHARE) === 1;
    const entryHosts = isBacklogged ? pickEntryHosts(hosts.length, random) : [];
    const sender = {
      team: team.id,
      pickHost: () =>
        hosts[
          isBacklogged
            ? entryHosts[Math.floor(random() * entryHosts.length)]!
            : Math.floor(random() * hosts.length)
        ]!,
      pickCost: () => pickMixedCost(random),
    };
    const untilMs = sizes.endMs;
    if (isBacklogged) {
      keepBacklogged(fixture, sender, { depth: slots, untilMs });
    } else {
      const perSecond = backgroundRate / (teams.length - backlogged);
      sendAtRate(fixture, sender, { perSecond, untilMs, random });
    }
  });
}

function readTotals(fixture: FleetFixture) {
  const { bytes, crossRegionBytes, byKind } = fixture.getControlTraffic();
  return {
    bytes,
    crossRegionBytes,
    byKind: new Map(byKind),
    sent: fixture.hosts.map((each) => fixture.getSentBytes(each.id)),
    answered:
      fixture.getRequests().filter((each) =>
        each.state === "answered" && each.service === SERVICE
      ).length,
  };
}
