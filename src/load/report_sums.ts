/**
 * Sums of reports of load.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import { addPacingStats, EMPTY_PACING_STATS } from "../pacing/mod.ts";
import { addUse, createUse, isUsed } from "./use.ts";
import type {
  LearnedOfService,
  LoadContent,
  LoadReport,
  TeamUse,
  UpstreamUse,
} from "./types.ts";

/** Use by upstream and team over all reports. */
export function addReports(reports: readonly LoadContent[]): LoadContent {
  return combine(reports.map((report) => ({ report, sign: 1 })));
}

/** What is left of a sum without one of its parts. */
export function subtractReport(sum: LoadReport, part: LoadContent): LoadReport {
  return {
    ...sum,
    ...combine([{ report: sum, sign: 1 }, { report: part, sign: -1 }]),
  };
}

interface Signed {
  readonly report: LoadContent;
  readonly sign: 1 | -1;
}

function combine(all: readonly Signed[]): LoadContent {
  const upstreams = new Map<number, Mutable<UpstreamUse>>();
  const teams = new Map<number, Mutable<TeamUse>>();
  const learned = new Map<number, LearnedOfService>();
  for (const { report, sign } of all) {
    for (const each of report.upstreams) {
      const { upstream } = each;
      const use = getOrCreate(upstreams, upstream, () => ({
        upstream,
        ...createUse(),
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
  };
}

type Mutable<T> = { -readonly [Key in keyof T]: T[Key] };
