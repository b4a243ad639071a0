/**
 * Decides whether this host takes new connections in time; one that doesn't is
 * not ready, and is not named to callers, until it does again.
 *
 * Load: callers of some teams keep to one ready host of their data centre,
 * whichever hosts they are told, and a team that floods opens all its
 * connections there. Harm prevented: Node accepts one connection in each turn of
 * the event loop. A busy host's turns grow, the few places of its accept queue
 * fill, and further callers wait a second for a connection that never comes,
 * while the neighbours have time to spare. Those callers go by readiness alone.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";

/** Whether new connections are taken in time. */
export interface Intake {
  /** Called by a timer in each turn of the event loop, as far as turns allow. */
  tick(): void;
  isFull(): boolean;
}

/** What the decision needs of the process. */
export interface IntakeHost {
  readonly clock: Clock;
  /** Enough other hosts of the data centre take callers. */
  mayBeFull(): boolean;
  /** Told at each change, and in each window while the host is full. */
  onDecision(state: IntakeState): void;
}

/** What was decided, and from what. */
export interface IntakeState {
  readonly isFull: boolean;
  /** Over the last window, in ms. */
  readonly meanTurnMs: number;
}

/** Turns are looked at over so long, in ms: one long turn means nothing. */
export const INTAKE_WINDOW_MS = 1_000;

/**
 * Longest mean turn, in ms, at which a host has room: forty connections a second.
 * A request that opens one takes three turns before it is looked at.
 */
const MAX_MEAN_TURN_MS = 25;

/** A full host has room again when its turns are as short as this, in ms. */
const RECOVERED_MEAN_TURN_MS = 18;

/**
 * A full host rests for so long at least, in ms: callers hear of a change within
 * a second or two, and going back and forth costs them their connections.
 */
const MIN_FULL_MS = 3_000;

/** Makes the decision of a host that has room. */
export function createIntake(host: IntakeHost): Intake {
  const { clock } = host;
  let windowStartMs = clock.monotonicMs();
  let turns = 0;
  let fullSinceMs: number | undefined;

  function decide(meanTurnMs: number): boolean {
    if (!host.mayBeFull()) return false;
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
