/**
 * The processor of a host in virtual time: it does one piece of work after
 * another, in the order in which they come.
 *
 * @module
 */

import type { LoopTimes } from "../handoff/mod.ts";
import type { VirtualScheduler } from "./virtual_scheduler.ts";

/** A processor of which a host has a share. */
export interface SimulatedProcessor {
  /** Does work of this many ms of a whole core, then calls `run`. */
  work(coreMs: number, run?: () => void): void;
  /** Accumulated busy and idle time, in ms. */
  readTimes(): LoopTimes;
}

/** Creates an idle processor with this share of a core. */
export function createSimulatedProcessor(
  { clock, after }: VirtualScheduler,
  coreShare: number,
): SimulatedProcessor {
  let busyUntilMs = 0;
  let workMs = 0;

  return {
    work(coreMs, run = () => {}) {
      const nowMs = clock.monotonicMs();
      const tookMs = coreMs / coreShare;
      busyUntilMs = Math.max(nowMs, busyUntilMs) + tookMs;
      workMs += tookMs;
      after(busyUntilMs - nowMs, run);
    },
    readTimes() {
      const nowMs = clock.monotonicMs();
      const active = workMs - Math.max(0, busyUntilMs - nowMs);
      return { active, idle: nowMs - active };
    },
  };
}
