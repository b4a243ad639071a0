import { deepStrictEqual, match, ok } from "node:assert/strict";
import { test } from "node:test";
import type { Deployment } from "../types.ts";
import { createRouterMetrics, type MetricsHost } from "./metrics.ts";

function createDeployment(teams: number, services: number): Deployment {
  const names = (prefix: string, count: number) =>
    Array.from({ length: count }, (_, index) => `${prefix}-${index}`);
  return {
    name: "test",
    dataCentres: [],
    upstreams: [],
    teams: names("team", teams).map((id) => ({
      id,
      weight: 1,
      keyDigest: "",
      maxQueued: 1,
    })),
    services: names("service", services).map((id) => ({
      id,
      kind: "plain",
      operations: [],
      maxDeadlineMs: 1,
      maxBodyBytes: 1,
      expectedCost: 1,
    })),
  };
}

function createHost(deployment: Deployment): MetricsHost {
  const counters = new Map([["team-0", 12], ["team-1", 4], ["team-2", 90]]);
  return {
    getDeployment: () => deployment,
    getConfigVersion: () => 7,
    getOwned: () => [{ upstream: "up-1", limit: 9, inUse: 4, waiting: 2 }],
    getQueued: (service) =>
      new Map(service === "service-0" ? [["team-0", 3], ["team-1", 1]] : []),
    tryGetOldestMs: () => 500,
    getCounter: (_, team) => counters.get(team) ?? 0,
    getMembers: () => [],
    isReady: () => true,
    nowMs: () => 2_500,
  };
}

/** The sample lines of the project's own metrics. */
function getSamples(text: string): readonly string[] {
  return text.split("\n").filter((line) => line.startsWith("azurestile_"));
}

test("gauges are read at the scrape; only waiting teams count for the gap", async () => {
  const metrics = createRouterMetrics(createHost(createDeployment(3, 2)));
  metrics.addControlBytes("grant", 10, { crossesRegion: false });
  metrics.addControlBytes("grant", 5, { crossesRegion: true });
  const samples = getSamples(await metrics.render());
  for (
    const expected of [
      "azurestile_config_version 7",
      'azurestile_slots_in_use{upstream="up-1"} 4',
      'azurestile_fairness_gap_cost_units{service="service-0"} 8',
      'azurestile_fairness_gap_cost_units{service="service-1"} 0',
      'azurestile_oldest_wait_seconds{service="service-0"} 2',
      'azurestile_control_bytes_total{kind="grant"} 15',
      'azurestile_regional_control_bytes_total{kind="grant"} 5',
    ]
  ) ok(samples.includes(expected), expected);
});

test("every metric has a help text, and its unit in its name", async () => {
  const metrics = createRouterMetrics(createHost(createDeployment(3, 2)));
  const text = await metrics.render();
  const types = [...text.matchAll(/^# TYPE (azurestile_\S+) (\S+)$/gm)];
  ok(types.length > 15);
  for (const [, name = "", type] of types) {
    match(text, new RegExp(`^# HELP ${name} .{10,}`, "m"));
    if (type === "counter") match(name, /_total$/);
    if (type === "histogram") match(name, /_seconds$/);
  }
});

/**
 * At the target size each host may serve every team and every model. If team,
 * outcome and upstream were labels of one metric, a scrape of 390 hosts would
 * have millions of series and overload the operators' metrics database.
 */
test("290 teams and 11 models result in fewer than 5000 series per host", async () => {
  const deployment = createDeployment(290, 11);
  const metrics = createRouterMetrics(createHost(deployment));
  for (const team of deployment.teams) {
    for (const service of deployment.services) {
      for (const outcome of ["answered", "not-run", "may-have-run"] as const) {
        metrics.observeEnd({
          team: team.id,
          service: service.id,
          outcome,
          cost: 1,
          waitedMs: 1,
          reason: "",
        });
      }
    }
  }
  const samples = getSamples(await metrics.render());
  ok(samples.length < 5_000, String(samples.length));
  deepStrictEqual(metrics.getServed().length, 290 * 11);
});
