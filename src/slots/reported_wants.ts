/**
 * What this host has told each owner that it wants, so that only changes are
 * sent, and so that a withdrawal reaches every owner that was asked.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import { needsReport } from "./upstream_selection.ts";
import type { Want } from "./types.ts";

/** The wants told, by upstream and team. */
export interface ReportedWants {
  /** Tells the number that waits; false when what is told will do. */
  update(want: Want, upstream: string): boolean;
  /** The owner of the upstream has taken one off by a grant. */
  deductGrant(upstream: string, team: string): void;
  /** Forgets what was told, since its owner changed or forgot. */
  clear(upstream: string): void;
  hasAny(upstream: string): boolean;
}

/** Makes the record with nothing told. */
export function createReportedWants(): ReportedWants {
  const byUpstream = new Map<string, Map<string, number>>();
  return {
    update({ team, waiting }, upstream) {
      const byTeam = getOrCreate(byUpstream, upstream, () => new Map());
      if (!needsReport(waiting, byTeam.get(team) ?? 0)) return false;
      if (waiting > 0) byTeam.set(team, waiting);
      else byTeam.delete(team);
      return true;
    },
    deductGrant(upstream, team) {
      const byTeam = byUpstream.get(upstream);
      const remaining = (byTeam?.get(team) ?? 0) - 1;
      if (remaining > 0) byTeam!.set(team, remaining);
      else byTeam?.delete(team);
    },
    clear: (upstream) => void byUpstream.delete(upstream),
    hasAny: (upstream) => (byUpstream.get(upstream)?.size ?? 0) > 0,
  };
}
