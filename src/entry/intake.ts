/**
 * Decides whether this host accepts new connections in time. A host that does
 * not is full: it reports that it is not ready and is left out of the answers
 * to host queries until it accepts connections in time again.
 *
 * Load: callers of some teams use a single ready host in their data centre,
 * whichever hosts they are told to use, and a team that sends far more than its
 * share opens all its connections there. Failure prevented: Node accepts one
 * connection per event-loop iteration. As the iterations of a busy host grow
 * longer, its short accept queue fills up, and further callers wait a second
 * for a connection that is never accepted, while neighbouring hosts are idle.
 * These callers choose their host by readiness alone.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";

/** Monitors whether new connections are accepted in time. */
export interface Intake {
  /** Called by a timer, at most once per event-loop iteration. */
  tick(): void;
  isFull(): boolean;
}

/** Dependencies of the intake. */
export interface IntakeHost {
  readonly clock: Clock;
  /** Whether enough other hosts in the data centre take callers. */
  mayBeFull(): boolean;
  /**
   * Utilization of the event loop, from 0 to 1; 0 in a data centre with too few
   * hosts for handoffs.
   */
  getUtilization(): number;
  /** Called on each change, and in each window while the host is full. */
  onDecision(state: IntakeState): void;
}

/** The decision and the measurement that it is based on. */
export interface IntakeState {
  readonly isFull: boolean;
  /** Mean duration of an event-loop iteration over the last window, in ms. */
  readonly meanTurnMs: number;
}

/**
 * Length of the window over which iterations are averaged, in ms, so that a
 * single long iteration has little effect.
 */
export const INTAKE_WINDOW_MS = 1_000;

/**
 * A host becomes full if its mean event-loop iteration is longer than this, in
 * ms. 25 ms means 40 accepted connections per second. A request that opens a
 * connection takes three iterations before it is processed.
 */
const MAX_MEAN_TURN_MS = 25;

/**
 * A host becomes full as well if its event loop is busy for more than this share
 * of the time. A host that is throttled runs many short iterations between two
 * pauses, so that their mean length does not show that it can't keep up.
 */
const MAX_UTILIZATION = 0.95;

/**
 * A full host becomes available again if its mean iteration is no longer than
 * this, in ms.
 */
const RECOVERED_MEAN_TURN_MS = 18;

/**
 * Minimum time for which a host stays full, in ms. Callers learn of a change
 * within one or two seconds, and frequent changes cost them their connections.
 */
const MIN_FULL_MS = 3_000;

/** Creates the intake of a host that is not full. */
export function createIntake(host: IntakeHost): Intake {
  const { clock } = host;
  let windowStartMs = clock.monotonicMs();
  let turns = 0;
  let fullSinceMs: number | undefined;

  function decide(meanTurnMs: number): boolean {
    if (!host.mayBeFull()) return false;
    if (host.getUtilization() > MAX_UTILIZATION) return true;
    if (fullSinceMs === undefined) return meanTurnMs > MAX_MEAN_TURN_MS;
    const isHeldFull = clock.monotonicMs() - fullSinceMs < MIN_FULL_MS;
    return isHeldFull || meanTurnMs > RECOVERED_MEAN_TURN_MS;
  }

  function endWindow(elapsedMs: number): void {
    const meanTurnMs = elapsedMs / turns;
    const wasFull = fullSinceMs !== undefined;
    const isFull = decide(meanTurnMs);
    if (!isFull) fullSinceMs = undefined;
    else fullSinceMs ??= clock.monotonicMs();
    if (isFull || wasFull) host.onDecision({ isFull, meanTurnMs });
  }

  return {
    tick() {
      turns++;
      const elapsedMs = clock.monotonicMs() - windowStartMs;
      if (elapsedMs < INTAKE_WINDOW_MS) return;
      endWindow(elapsedMs);
      windowStartMs = clock.monotonicMs();
      turns = 0;
    },
    isFull: () => fullSinceMs !== undefined,
  };
}
