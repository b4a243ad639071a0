/**
 * Tracks the platform's eras, to detect that the platform was recently restored
 * from an older backup.
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

/** Dependencies of an era tracker. */
export interface EraTrackerHost {
  readonly clock: Clock;
  log(decision: Decision): void;
  /** Called once for each restore, whichever table shows it first. */
  onRestored(): void;
}

/** The eras that this host has seen. */
export interface EraTracker {
  /**
   * Records the position of this host's replica of a table; `from` names the
   * source of the copy.
   */
  recordPosition(table: TableName, position: TablePosition, from: string): void;
  /**
   * Monotonic time in ms at which the last restore was detected; `-Infinity`
   * without any.
   */
  getRestoredMs(): number;
}

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
    getRestoredMs: () => restoredMs,
  };
}
