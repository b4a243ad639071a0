/**
 * The numbers of waiting requests that this host has reported to each owner, so
 * that it sends only changes, and so that a withdrawal reaches every owner that
 * it asked.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import { needsReport } from "./upstream_selection.ts";
import type { Want } from "./types.ts";

/** The reported numbers of waiting requests, by upstream and team. */
export interface ReportedWants {
  /**
   * Records the current number as reported; returns false when the number
   * reported before suffices and nothing needs to be sent.
   */
  update(want: Want, upstream: string): boolean;
  /** Deducts a request that the owner has granted, as the owner does. */
  deductGrant(upstream: string, team: string): void;
  /** Clears what was reported, after the owner changed or lost its state. */
  clear(upstream: string): void;
  hasAny(upstream: string): boolean;
}

/** Creates the record, with nothing reported. */
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
