/**
 * `azurestile-status`: prints configuration versions, hosts, upstreams, queues
 * and shares of the teams, combined from the status of every host.
 *
 * @module
 */

import type { HostStatus } from "../router/operator_types.ts";
import type { HostAnswer } from "./fleet_client.ts";
import { type Cell, formatTable } from "./format_table.ts";
import { createClientFromOptions, fleetArgs, jsonArg } from "./options.ts";
import type { Program } from "./program.ts";

const args = { ...fleetArgs, ...jsonArg } as const;

/** The program. */
export const statusProgram: Program<typeof args> = {
  name: "azurestile-status",
  description: "Shows versions in force, hosts, upstreams, queues and shares",
  args,
  exits: ["partial", "unreachable", "keyRefused"],
  async run(options, host) {
    const fleet = createClientFromOptions(options, host);
    const answers = await fleet.queryAllHosts<HostStatus>("/ops/status");
    const { print } = host;
    if (options.json) print(JSON.stringify({ hosts: answers }, undefined, 2));
    else print(formatStatus(answers));
    return answers.every((each) => each.kind === "answered") ? "ok" : "partial";
  },
};

/** Formats the status of the fleet as text. */
export function formatStatus(
  answers: readonly HostAnswer<HostStatus>[],
): string {
  const statuses = answers.flatMap((each) =>
    each.kind === "answered" ? [each.value] : []
  );
  const newest =
    statuses.toSorted((a, b) => b.configVersion - a.configVersion)[0];
  const sections = [
    [formatInForce(statuses), formatHosts(answers)],
    [
      "UPSTREAMS",
      newest === undefined ? "" : formatUpstreams(newest, statuses),
    ],
    ["QUEUES", formatQueues(statuses)],
    [
      "SHARES (since the hosts started)",
      newest === undefined ? "" : formatShares(newest, statuses),
    ],
  ];
  return sections.map(([title, text]) => `${title}\n${text}`).join("\n\n");
}

/** Formats how many hosts have the newest version in force. */
function formatInForce(statuses: readonly HostStatus[]): string {
  const versions = new Set(statuses.map((each) => each.configVersion));
  const [version = 0] = [...versions].sort((a, b) => b - a);
  const count = statuses.filter((each) => each.configVersion === version)
    .length;
  return `HOSTS (version ${version} is in force at ${count} of ` +
    `${statuses.length} that answered)`;
}

function formatHosts(answers: readonly HostAnswer<HostStatus>[]): string {
  const rows = answers.map((answer): readonly Cell[] => {
    if (answer.kind === "silent") {
      return [answer.host, "", "no answer", "", "", answer.reason];
    }
    const { value } = answer;
    const own = value.members.find((each) => each.host === value.host);
    const aliveCount = value.members.filter((each) =>
      each.state === "alive"
    ).length;
    return [
      value.host,
      value.dataCentre,
      value.draining ? "draining" : own?.state ?? "",
      value.configVersion,
      aliveCount,
      value.notReady ?? "ready",
    ];
  });
  return formatTable(
    ["host", "data centre", "state", "version", "sees alive", "readiness"],
    rows,
  );
}

function formatUpstreams(
  newest: HostStatus,
  statuses: readonly HostStatus[],
): string {
  const rows = newest.upstreams.map((upstream): readonly Cell[] => {
    const owners = statuses.filter((each) =>
      each.owned.some((one) => one.upstream === upstream.id)
    );
    const owned = owners[0]?.owned.find((each) =>
      each.upstream === upstream.id
    );
    return [
      upstream.id,
      upstream.service,
      upstream.dataCentre,
      owners.map((each) => each.host).join(" and ") || "none",
      owned?.limit ?? "?",
      owned?.inUse ?? "?",
      owned?.waiting ?? "?",
      upstream.leaving ? "leaving" : "live",
    ];
  });
  return formatTable([
    "upstream",
    "service",
    "data centre",
    "slot owner",
    "limit",
    "in use",
    "waiting",
    "state",
  ], rows);
}

function formatQueues(statuses: readonly HostStatus[]): string {
  const rows = statuses.flatMap((status) =>
    status.queues.map((queue): readonly Cell[] => [
      queue.service,
      queue.team,
      status.host,
      queue.waiting,
    ])
  );
  if (rows.length === 0) return "no request waits";
  return formatTable(["service", "team", "host", "waiting"], rows);
}

/** Formats each team's share of each service beside its share by weight. */
function formatShares(
  newest: HostStatus,
  statuses: readonly HostStatus[],
): string {
  const weights = new Map(newest.teams.map((each) => [each.id, each.weight]));
  const totalWeight = sum([...weights.values()]);
  const served = statuses.flatMap((status) => status.served);
  const services = [...new Set(served.map((each) => each.service))].sort();
  const rows = services.flatMap((service) => {
    const ofService = served.filter((each) => each.service === service);
    const totalCost = sum(ofService.map((each) => each.cost));
    const teams = [...new Set(ofService.map((each) => each.team))].sort();
    return teams.map((team): readonly Cell[] => {
      const own = ofService.filter((each) => each.team === team);
      const cost = sum(own.map((each) => each.cost));
      const weight = weights.get(team) ?? 0;
      return [
        service,
        team,
        weight,
        sum(own.map((each) => each.requests)),
        Math.round(cost),
        formatShare(cost, totalCost),
        formatShare(weight, totalWeight),
      ];
    });
  });
  if (rows.length === 0) return "no request has ended";
  return formatTable([
    "service",
    "team",
    "weight",
    "requests",
    "cost",
    "share",
    "share by weight",
  ], rows);
}

function formatShare(part: number, total: number): string {
  return total === 0 ? "-" : `${(100 * part / total).toFixed(1)}%`;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
