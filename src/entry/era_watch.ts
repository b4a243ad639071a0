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
export interface EraWatchHost {
  readonly clock: Clock;
  log(decision: Decision): void;
  /** Once for each return, whichever table shows it first. */
  onReturned(): void;
}

/** The eras seen. */
export interface EraWatch {
  /** This host has a copy of the table from there; `from` tells who gave it. */
  note(table: TableName, position: TablePosition, from: string): void;
  /** Whether a later era than before was seen within the time given, in ms. */
  wasReturnWithin(ms: number): boolean;
}

/** Makes a watch that has seen none. */
export function createEraWatch(host: EraWatchHost): EraWatch {
  const known = new Map<TableName, TablePosition>();
  let returnedEra = -Infinity;
  let returnedMs = -Infinity;

  return {
    note(table, position, from) {
      const before = known.get(table);
      known.set(table, position);
      if (before === undefined || !isLaterEra(position, before)) return;
      const era = position.era!;
      returnedMs = host.clock.monotonicMs();
      host.log({
        event: "platform-era-changed",
        table,
        from,
        era,
        platformVersion: position.version,
        lastEra: before.era!,
        lastVersion: before.version,
      });
      if (era <= returnedEra) return;
      returnedEra = era;
      host.onReturned();
    },
    wasReturnWithin: (ms) => host.clock.monotonicMs() - returnedMs < ms,
  };
}
