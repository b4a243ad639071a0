/**
 * Adds and subtracts load reports.
 *
 * @module
 */

import { getOrCreate, type Mutable } from "../core/mod.ts";
import { addPacingStats, EMPTY_PACING_STATS } from "../pacing/mod.ts";
import { addUse, createUseTotals, isUsed } from "./use_totals.ts";
import type {
  LearnedOfService,
  LoadContent,
  LoadReport,
  TeamUse,
  UpstreamUse,
} from "./types.ts";

/** The use of no host. */
export const EMPTY_CONTENT: LoadContent = {
  upstreams: [],
  teams: [],
  learned: [],
  hosts: 0,
};

/**
 * Sums the use by upstream, team and service over all reports. A single report
 * is its own sum.
 */
export function addReports(reports: readonly LoadContent[]): LoadContent {
  const [first, ...further] = reports;
  if (first !== undefined && further.length === 0) return first;
  return sumSigned(reports.map((report) => ({ report, sign: 1 })));
}

/** Subtracts a report from an aggregate that contains it. */
export function subtractReport(sum: LoadReport, part: LoadContent): LoadReport {
  return {
    ...sum,
    ...sumSigned([{ report: sum, sign: 1 }, { report: part, sign: -1 }]),
  };
}

interface SignedReport {
  readonly report: LoadContent;
  readonly sign: 1 | -1;
}

function sumSigned(all: readonly SignedReport[]): LoadContent {
  const upstreams = new Map<number, Mutable<UpstreamUse>>();
  const teams = new Map<number, Mutable<TeamUse>>();
  const learned = new Map<number, LearnedOfService>();
  let hosts = 0;
  for (const { report, sign } of all) {
    hosts += sign * report.hosts;
    for (const each of report.upstreams) {
      const { upstream } = each;
      const use = getOrCreate(upstreams, upstream, () => ({
        upstream,
        ...createUseTotals(),
      }));
      addUse(use, each, sign);
    }
    for (const { team, asked, begun } of report.teams) {
      const use = getOrCreate(teams, team, () => ({
        team,
        asked: 0,
        begun: 0,
      }));
      use.asked += sign * asked;
      use.begun += sign * begun;
    }
    for (const each of report.learned) {
      const known = learned.get(each.service) ?? EMPTY_PACING_STATS;
      const sum = addPacingStats(known, each, sign);
      learned.set(each.service, { ...sum, service: each.service });
    }
  }
  return {
    upstreams: [...upstreams.values()]
      .filter(isUsed),
    teams: [...teams.values()].filter((each) => each.asked > 0),
    learned: [...learned.values()].filter((each) => each.hosts > 0),
    // A report of an earlier version is subtracted from a sum without it.
    hosts: Math.max(0, hosts),
  };
}
