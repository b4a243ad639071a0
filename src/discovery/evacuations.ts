/**
 * The data centres that operators evacuate: their upstreams get no new requests
 * until the data centre is taken back.
 *
 * An evacuation ends when its row is removed from the operators' table. After a
 * restore of the platform from an older backup, however, a missing row may only
 * be lost, until operators have written it again. Such an evacuation is kept for
 * a while.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import { isLaterEra, NO_POSITION, type TablePosition } from "./positions.ts";

/** The evacuations known to this host. */
export interface Evacuations {
  /** The evacuated data centres; another set after each change. */
  getAll(): ReadonlySet<string>;
  /** Replaces the evacuations by those in the table as of the position. */
  update(dataCentres: ReadonlySet<string>, at: TablePosition): void;
}

/** Dependencies of the evacuations. */
export interface EvacuationsHost {
  readonly clock: Clock;
  onChange(dataCentre: string, change: "began" | "ended"): void;
}

/**
 * How long an evacuation is kept that is missing after a restore, in ms: the
 * time in which operators write again what the backup does not contain, and in
 * which their change reaches all hosts.
 */
export const RESTORED_GRACE_MS = 8_000;

/** Creates the evacuations of a host that knows of none. */
export function createEvacuations(host: EvacuationsHost): Evacuations {
  let evacuated: ReadonlySet<string> = new Set();
  let position = NO_POSITION;
  /** Evacuations missing since a restore, with the time until they are kept. */
  const keptUntilMs = new Map<string, number>();

  function replace(next: ReadonlySet<string>): void {
    const previous = evacuated;
    const began = [...next].filter((each) => !previous.has(each));
    const ended = [...previous].filter((each) => !next.has(each));
    if (began.length === 0 && ended.length === 0) return;
    evacuated = next;
    for (const each of began) host.onChange(each, "began");
    for (const each of ended) host.onChange(each, "ended");
  }

  function endExpired(): void {
    if (keptUntilMs.size === 0) return;
    const nowMs = host.clock.monotonicMs();
    const next = new Set(evacuated);
    for (const [dataCentre, untilMs] of keptUntilMs) {
      if (nowMs < untilMs) continue;
      keptUntilMs.delete(dataCentre);
      next.delete(dataCentre);
    }
    replace(next);
  }

  return {
    getAll() {
      endExpired();
      return evacuated;
    },
    update(dataCentres, at) {
      const isRestored = isLaterEra(at, position);
      const untilMs = host.clock.monotonicMs() + RESTORED_GRACE_MS;
      position = at;
      const next = new Set(dataCentres);
      for (const dataCentre of evacuated) {
        if (dataCentres.has(dataCentre)) {
          keptUntilMs.delete(dataCentre);
          continue;
        }
        if (isRestored && !keptUntilMs.has(dataCentre)) {
          keptUntilMs.set(dataCentre, untilMs);
        }
        if (keptUntilMs.has(dataCentre)) next.add(dataCentre);
      }
      replace(next);
    },
  };
}
