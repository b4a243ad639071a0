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
export interface WantsTold {
  /** Tells the number that waits; false when what is told will do. */
  update(want: Want, upstream: string): boolean;
  /** The owner of the upstream has taken one off by a grant. */
  countGrant(upstream: string, team: string): void;
  /** Forgets what was told, since its owner changed or forgot. */
  forget(upstream: string): void;
  hasAny(upstream: string): boolean;
}

/** Makes the record with nothing told. */
export function createWantsTold(): WantsTold {
  const told = new Map<string, Map<string, number>>();
  return {
    update({ team, waiting }, upstream) {
      const believed = getOrCreate(told, upstream, () => new Map());
      if (!needsReport(waiting, believed.get(team) ?? 0)) return false;
      if (waiting > 0) believed.set(team, waiting);
      else believed.delete(team);
      return true;
    },
    countGrant(upstream, team) {
      const believed = told.get(upstream);
      const left = (believed?.get(team) ?? 0) - 1;
      if (left > 0) believed!.set(team, left);
      else believed?.delete(team);
    },
    forget: (upstream) => void told.delete(upstream),
    hasAny: (upstream) => (told.get(upstream)?.size ?? 0) > 0,
  };
}
