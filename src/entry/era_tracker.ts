/**
 * The eras of the platform that this host has seen: whether the platform came back
 * from an older copy of itself a moment ago.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { Decision } from "../diagnostics/mod.ts";
import {
  isLaterEra,
  type TableName,
  type TablePosition,
} from "../discovery/mod.ts";

/** What the watch needs of the process. */
export interface EraTrackerHost {
  readonly clock: Clock;
  log(decision: Decision): void;
  /** Once for each return, whichever table shows it first. */
  onRestored(): void;
}

/** The eras seen. */
export interface EraTracker {
  /** This host has a copy of the table from there; `from` tells who gave it. */
  recordPosition(table: TableName, position: TablePosition, from: string): void;
  /** Whether a later era than before was seen within the time given, in ms. */
  hadRestoreWithin(ms: number): boolean;
}

/** Makes a watch that has seen none. */
export function createEraTracker(host: EraTrackerHost): EraTracker {
  const known = new Map<TableName, TablePosition>();
  let restoredEra = -Infinity;
  let restoredMs = -Infinity;

  return {
    recordPosition(table, position, from) {
      const previous = known.get(table);
      known.set(table, position);
      if (previous === undefined || !isLaterEra(position, previous)) return;
      const era = position.era!;
      restoredMs = host.clock.monotonicMs();
      host.log({
        event: "platform-era-changed",
        table,
        from,
        era,
        platformVersion: position.version,
        lastEra: previous.era!,
        lastVersion: previous.version,
      });
      if (era <= restoredEra) return;
      restoredEra = era;
      host.onRestored();
    },
    hadRestoreWithin: (ms) => host.clock.monotonicMs() - restoredMs < ms,
  };
}
