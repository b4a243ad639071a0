/**
 * Sums up, for the log, what a host's processor time goes to: the connections
 * and requests of each second beside the time that the process used and the part
 * of it that the decisions of its ticks took, scheduling passes above all.
 *
 * Failure made visible: callers of a team keep to a host that can't accept all of
 * them. By the requests that hosts read, that team looks satisfied.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { HostActivity } from "../diagnostics/mod.ts";
import type { CallEnd } from "../forwarding/mod.ts";

/** What a host is counted to have done. */
export type HostWork = Exclude<
  keyof HostActivity,
  "processorMs" | "passMs" | "utilization"
>;

/** The activity of one host. */
export interface HostActivityCounter {
  count(work: HostWork): void;
  /** Runs the decisions of a tick and adds the time that they take. */
  measurePass(run: () => void): void;
  /** Called by a timer, many times per second. */
  tick(): void;
}

/** Dependencies of the counter. */
export interface HostActivityHost {
  readonly clock: Clock;
  /** Processor time of this process since its start, in ms. */
  readProcessorMs(): number;
  /** Utilization of this host's event loop, from 0 to 1. */
  getUtilization(): number;
  /** Called at most once per second, and only if something was counted. */
  onActivity(activity: HostActivity): void;
}

/** Interval between two reports, in ms. */
const REPORT_INTERVAL_MS = 1_000;

/** Creates the counter of a host that has done nothing. */
export function createHostActivity(
  host: HostActivityHost,
): HostActivityCounter {
  const { clock } = host;
  let counts = createCounts();
  let isEmpty = true;
  let passMs = 0;
  let reportedMs = clock.monotonicMs();
  let reportedProcessorMs = host.readProcessorMs();

  function report(): void {
    const processorMs = host.readProcessorMs();
    if (!isEmpty) {
      host.onActivity({
        ...counts,
        processorMs: Math.round(processorMs - reportedProcessorMs),
        passMs: Math.round(passMs),
        utilization: Math.round(host.getUtilization() * 100) / 100,
      });
    }
    reportedProcessorMs = processorMs;
    counts = createCounts();
    isEmpty = true;
    passMs = 0;
  }

  return {
    count(work) {
      counts[work]++;
      isEmpty = false;
    },
    measurePass(run) {
      const startMs = clock.monotonicMs();
      run();
      passMs += clock.monotonicMs() - startMs;
    },
    tick() {
      const nowMs = clock.monotonicMs();
      if (nowMs - reportedMs < REPORT_INTERVAL_MS) return;
      reportedMs = nowMs;
      report();
    },
  };
}

/** Returns as what a request counts that has ended. */
export function getWork({ outcome, refusedAfterMs }: CallEnd): HostWork {
  if (refusedAfterMs === 0) return "refusedEarly";
  if (refusedAfterMs !== undefined) return "refusedLate";
  return outcome === "answered" ? "answered" : "otherEnds";
}

function createCounts(): Record<HostWork, number> {
  return {
    accepted: 0,
    handedOff: 0,
    abandoned: 0,
    received: 0,
    answered: 0,
    refusedEarly: 0,
    refusedLate: 0,
    otherEnds: 0,
  };
}
