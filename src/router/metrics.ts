/**
 * Prometheus metrics of one router. Each metric has its unit in its name and a
 * help text.
 *
 * The number of series per host is bounded for the target size of 290 teams and
 * 11 models: no metric has both team and outcome, or both team and upstream, as
 * labels. The metric with service and team as labels grows only with the pairs
 * that this host has served.
 *
 * @module
 */

import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from "prom-client";
import { getOrCreate } from "../core/mod.ts";
import type { Member } from "../membership/mod.ts";
import type { RequestEnd } from "../requests/types.ts";
import type { TimelineEvent } from "../timeline/mod.ts";
import type { Deployment } from "../types.ts";
import type { OwnedUpstream } from "../fleet/mod.ts";

/** State that the metrics read at each scrape. */
export interface MetricsHost {
  getDeployment(): Deployment | undefined;
  getConfigVersion(): number;
  getOwned(): readonly OwnedUpstream[];
  /** Waiting requests by team. */
  getQueued(service: string): ReadonlyMap<string, number>;
  /** Arrival of the oldest waiting request, in monotonic milliseconds. */
  tryGetOldestMs(service: string): number | undefined;
  /** Service that the team received, divided by its weight. */
  getCounter(service: string, team: string): number;
  getMembers(): readonly Member[];
  isReady(): boolean;
  nowMs(): number;
}

/** Cost and number of a team's requests to one service through this host. */
export interface ServedTeam {
  readonly service: string;
  readonly team: string;
  readonly requests: number;
  /** In the service's cost unit. */
  readonly cost: number;
}

/** Collects metrics and renders them for a scrape. */
export interface RouterMetrics {
  observeEnd(end: RequestEnd): void;
  observeEvent(event: TimelineEvent): void;
  addControlBytes(
    kind: string,
    bytes: number,
    options: { crossesRegion: boolean },
  ): void;
  addRegionalPayload(direction: string, bytes: number): void;
  addPlatformFailure(): void;
  addPeerLost(): void;
  getServed(): readonly ServedTeam[];
  render(): Promise<string>;
}

const SECONDS_BUCKETS = [0.005, 0.02, 0.1, 0.5, 1.5, 5, 15, 60];

type Registers = [Registry];

/** Creates the metrics, with their own registry. */
export function createRouterMetrics(host: MetricsHost): RouterMetrics {
  const registry = new Registry();
  const registers: Registers = [registry];
  collectDefaultMetrics({ register: registry });
  addStateGauges(host, registers);
  addSlotGauges(host, registers);
  addQueueGauges(host, registers);
  const served = new Map<
    string,
    { -readonly [K in keyof ServedTeam]: ServedTeam[K] }
  >();
  const counters = createCounters(registers);
  const { requests, cost, seconds, waits, events, refusals } = counters;

  return {
    observeEnd(end) {
      const { service, team, outcome } = end;
      requests.inc({ service, outcome });
      cost.inc({ service, team }, end.cost);
      seconds.observe({ service }, end.waitedMs / 1000);
      const entry = getOrCreate(served, `${service}/${team}`, () => ({
        service,
        team,
        requests: 0,
        cost: 0,
      }));
      entry.requests++;
      entry.cost += end.cost;
    },
    observeEvent(event) {
      events.inc({ kind: event.kind });
      if (event.kind === "request-dispatched") {
        waits.observe(event.waitedMs / 1000);
      }
      if (event.kind === "request-refused") {
        refusals.inc({ reason: event.reason });
      }
      if (event.kind === "claim-decided") {
        counters.claims.inc({ decision: event.decision });
      }
      if (event.kind === "order-given") {
        counters.orders.inc({ result: event.decision });
      }
    },
    addControlBytes(kind, bytes, { crossesRegion }) {
      counters.control.inc({ kind }, bytes);
      if (crossesRegion) counters.regional.inc({ kind }, bytes);
    },
    addRegionalPayload: (direction, bytes) =>
      counters.payload.inc({ direction }, bytes),
    addPlatformFailure: () => counters.platformFailures.inc(),
    addPeerLost: () => counters.peersLost.inc(),
    getServed: () => [...served.values()],
    render: () => registry.metrics(),
  };
}

function createCounters(registers: Registers) {
  return {
    requests: new Counter({
      name: "azurestile_requests_total",
      help: "Requests ended, by service and outcome",
      labelNames: ["service", "outcome"],
      registers,
    }),
    cost: new Counter({
      name: "azurestile_service_cost_units_total",
      help: "Service given, in the service's cost unit, by service and team",
      labelNames: ["service", "team"],
      registers,
    }),
    seconds: new Histogram({
      name: "azurestile_request_seconds",
      help: "Time from arrival to end of a request, in seconds",
      labelNames: ["service"],
      buckets: SECONDS_BUCKETS,
      registers,
    }),
    waits: new Histogram({
      name: "azurestile_slot_wait_seconds",
      help: "Time that a request waited for a slot, in seconds",
      buckets: SECONDS_BUCKETS,
      registers,
    }),
    events: new Counter({
      name: "azurestile_events_total",
      help: "Events of the time line, by kind",
      labelNames: ["kind"],
      registers,
    }),
    refusals: new Counter({
      name: "azurestile_refusals_total",
      help: "Requests refused at admission as not run, by reason",
      labelNames: ["reason"],
      registers,
    }),
    claims: new Counter({
      name: "azurestile_claims_total",
      help: "Claims of requests that may run at most once, by decision",
      labelNames: ["decision"],
      registers,
    }),
    orders: new Counter({
      name: "azurestile_orders_total",
      help: "Orders to upstreams under a lease of this host, by result",
      labelNames: ["result"],
      registers,
    }),
    control: new Counter({
      name: "azurestile_control_bytes_total",
      help: "Bytes of control messages sent to other hosts, by kind",
      labelNames: ["kind"],
      registers,
    }),
    regional: new Counter({
      name: "azurestile_regional_control_bytes_total",
      help: "Bytes of control messages sent across the regional link, by kind",
      labelNames: ["kind"],
      registers,
    }),
    payload: new Counter({
      name: "azurestile_regional_payload_bytes_total",
      help: "Bytes of requests and answers across the regional link, by way",
      labelNames: ["direction"],
      registers,
    }),
    platformFailures: new Counter({
      name: "azurestile_platform_failures_total",
      help: "Calls to the platform that failed",
      registers,
    }),
    peersLost: new Counter({
      name: "azurestile_peer_links_lost_total",
      help: "Links to other hosts that were lost and dialed again",
      registers,
    }),
  };
}

function addStateGauges(host: MetricsHost, registers: Registers): void {
  new Gauge({
    name: "azurestile_config_version",
    help: "Version of the configuration in force at this host; 0 for none",
    registers,
    collect() {
      this.set(host.getConfigVersion());
    },
  });
  new Gauge({
    name: "azurestile_ready",
    help: "1 while the host takes requests, else 0",
    registers,
    collect() {
      this.set(host.isReady() ? 1 : 0);
    },
  });
  new Gauge({
    name: "azurestile_members",
    help: "Hosts that this host knows by heartbeats, by state",
    labelNames: ["state"],
    registers,
    collect() {
      for (const state of ["alive", "suspect", "leaving", "dead"]) {
        const members = host.getMembers();
        const count = members.filter((each) => each.state === state).length;
        this.set({ state }, count);
      }
    },
  });
}

function addSlotGauges(host: MetricsHost, registers: Registers): void {
  const labelNames = ["upstream"];
  const gauges = [
    ["limit", "Adaptive limit of an owned upstream, in requests in flight"],
    ["inUse", "Slots in use of an owned upstream"],
    ["waiting", "Requests that wait for a slot of an owned upstream"],
  ] as const;
  for (const [key, help] of gauges) {
    new Gauge({
      name: `azurestile_slots_${key === "inUse" ? "in_use" : key}`,
      help,
      labelNames,
      registers,
      collect() {
        this.reset();
        for (const owned of host.getOwned()) {
          this.set({ upstream: owned.upstream }, owned[key]);
        }
      },
    });
  }
}

function addQueueGauges(host: MetricsHost, registers: Registers): void {
  const getServices = () => host.getDeployment()?.services ?? [];
  new Gauge({
    name: "azurestile_queued_requests",
    help: "Requests that wait at this host, by service and team",
    labelNames: ["service", "team"],
    registers,
    collect() {
      this.reset();
      for (const { id } of getServices()) {
        for (const [team, waiting] of host.getQueued(id)) {
          this.set({ service: id, team }, waiting);
        }
      }
    },
  });
  new Gauge({
    name: "azurestile_oldest_wait_seconds",
    help: "Wait of the oldest waiting request, by service; 0 for none",
    labelNames: ["service"],
    registers,
    collect() {
      for (const { id } of getServices()) {
        const oldestMs = host.tryGetOldestMs(id);
        const waitMs = oldestMs === undefined ? 0 : host.nowMs() - oldestMs;
        this.set({ service: id }, waitMs / 1000);
      }
    },
  });
  new Gauge({
    name: "azurestile_fairness_gap_cost_units",
    help: "Largest difference of service divided by weight between teams " +
      "that wait at this host, by service",
    labelNames: ["service"],
    registers,
    collect() {
      for (const { id } of getServices()) {
        this.set({ service: id }, getFairnessGap(host, id));
      }
    },
  });
}

/**
 * Largest difference between counters of waiting teams; 0 for fewer than two.
 */
function getFairnessGap(host: MetricsHost, service: string): number {
  const teams = [...host.getQueued(service).keys()];
  if (teams.length < 2) return 0;
  const counters = teams.map((team) => host.getCounter(service, team));
  return Math.max(...counters) - Math.min(...counters);
}
