/**
 * Counts what each team asked for, what was begun for it and what its callers got
 * at this host since its process started, for the log.
 *
 * Failures made visible: one team gets a fraction of what another one gets, or
 * much is begun for a team that comes to nothing. Lines about single requests
 * may be dropped by a busy host, sums are not.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import type { TeamServiceTotals } from "../diagnostics/mod.ts";

/** The service of teams at this host since its start. */
export interface ServiceTotals {
  recordAsked(team: string, tokens: number): void;
  recordBegun(team: string, tokens: number): void;
  /** Records that a further attempt of a request has begun. */
  recordRepeated(team: string, tokens: number): void;
  /** Records that the caller has got the whole response to a prompt. */
  recordAnswered(team: string, tokens: number): void;
  /**
   * Once a second, the totals of the teams that asked for most in that second,
   * the first of which asked for most; otherwise none.
   */
  takeDue(nowMs: number): readonly TeamServiceTotals[];
}

/** Time between two lines, in ms. */
const PERIOD_MS = 1_000;

/** Teams in a line, which keeps its length bounded. */
const MAX_TEAMS = 8;

interface Totals {
  asked: number;
  begun: number;
  repeated: number;
  answered: number;
  /** The value of `asked` a period ago. */
  earlierAsked: number;
}

/** Creates the totals of a host that has served nobody. */
export function createServiceTotals(): ServiceTotals {
  const teams = new Map<string, Totals>();
  let takenMs = -Infinity;

  const getTotals = (team: string) =>
    getOrCreate(teams, team, () => ({
      asked: 0,
      begun: 0,
      repeated: 0,
      answered: 0,
      earlierAsked: 0,
    }));

  return {
    recordAsked: (team, tokens) => void (getTotals(team).asked += tokens),
    recordBegun: (team, tokens) => void (getTotals(team).begun += tokens),
    recordRepeated: (team, tokens) => void (getTotals(team).repeated += tokens),
    recordAnswered: (team, tokens) => void (getTotals(team).answered += tokens),
    takeDue(nowMs) {
      if (nowMs - takenMs < PERIOD_MS) return [];
      takenMs = nowMs;
      const busiest = [...teams]
        .map(([team, each]) => ({ ...each, team }))
        .filter((each) => each.asked > each.earlierAsked)
        .sort((a, b) => (b.asked - b.earlierAsked) - (a.asked - a.earlierAsked))
        .slice(0, MAX_TEAMS);
      for (const each of teams.values()) each.earlierAsked = each.asked;
      return busiest.map(({ team, asked, begun, repeated, answered }) => ({
        team,
        asked,
        begun,
        repeated,
        answered,
      }));
    },
  };
}
