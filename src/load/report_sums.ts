/**
 * Sums of reports of load.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import type { LoadReport, TeamUse, UpstreamUse } from "./types.ts";

type Content = Pick<LoadReport, "upstreams" | "teams">;

/** Use by upstream and team over all reports. */
export function addReports(reports: readonly Content[]): Content {
  return combine(reports.map((report) => ({ report, sign: 1 })));
}

/** What is left of a sum without one of its parts. */
export function subtractReport(sum: LoadReport, part: Content): LoadReport {
  return {
    ...sum,
    ...combine([{ report: sum, sign: 1 }, { report: part, sign: -1 }]),
  };
}

interface Signed {
  readonly report: Content;
  readonly sign: 1 | -1;
}

function combine(all: readonly Signed[]): Content {
  const upstreams = new Map<number, Mutable<UpstreamUse>>();
  const teams = new Map<number, Mutable<TeamUse>>();
  for (const { report, sign } of all) {
    for (const { upstream, inFlight, readingTokens } of report.upstreams) {
      const use = getOrCreate(upstreams, upstream, () => ({
        upstream,
        inFlight: 0,
        readingTokens: 0,
      }));
      use.inFlight += sign * inFlight;
      use.readingTokens += sign * readingTokens;
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
  }
  return {
    upstreams: [...upstreams.values()]
      .filter((each) => each.inFlight > 0 || each.readingTokens > 0),
    teams: [...teams.values()].filter((each) => each.asked > 0),
  };
}

type Mutable<T> = { -readonly [Key in keyof T]: T[Key] };
