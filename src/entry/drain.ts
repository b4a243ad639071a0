/**
 * The end of an entry host, from SIGTERM to its exit.
 *
 * Callers keep an answer about hosts for seconds and their connections for
 * longer, so requests go on coming. From the signal on no answer to a caller
 * names this host, it is not ready, and each answer closes its connection. A
 * request that can't end in the time left is refused with a true "not run";
 * what has begun is brought to its end.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import * as Effect from "effect/Effect";
import type { Clock } from "../core/mod.ts";

/** Requests in flight and the way out. */
export interface Drain {
  isDraining(): boolean;
  /** Whether a request of so long, in ms, may begin now. */
  mayStartRequest(expectedMs: number): boolean;
  /** Counts the answer as in flight until its last byte went out. */
  track(res: ServerResponse): void;
  countInFlight(): number;
  /** Succeeds when nothing is left to wait for; gives what was cut. */
  readonly run: Effect.Effect<{ cut: number; tookMs: number }>;
}

/** What leaving needs of the process. */
export interface DrainHost {
  readonly clock: Clock;
  /** From the signal to the kill, in ms. */
  readonly graceMs: number;
  /** Tells the other hosts. */
  announceLeaving(): void;
  onPhase(phase: "leaving" | "ending", inFlight: number): void;
}

/** Kept for the exit itself, in ms. */
const EXIT_MARGIN_MS = 400;

/**
 * Any request may begin in this part of the grace: streams have the rest. Most
 * callers have asked anew by then, since they keep an answer for 2 s. What begins
 * after three eighths and is cut at the end counts as lost, and this host may
 * hear of the signal a tenth of a second after it was given.
 */
const ADMIT_ALL_SHARE = 1 / 4;

/** A host without work stays for this part of it: late callers still come. */
const MIN_STAY_SHARE = 5 / 8;

/** And until no request has come for so long, in ms. */
const MIN_QUIET_MS = 1_000;

const CHECK_INTERVAL_MS = 50;

/** Makes the state of a host that serves. */
export function createDrain(host: DrainHost): Drain {
  const { clock, graceMs } = host;
  const openResponses = new Set<ServerResponse>();
  let startedMs: number | undefined;
  let lastArrivalMs = clock.monotonicMs();

  function getElapsedMs(): number {
    return startedMs === undefined ? 0 : clock.monotonicMs() - startedMs;
  }

  function setConnectionClose(res: ServerResponse): void {
    if (!res.headersSent) res.setHeader("connection", "close");
  }

  function isDone(): boolean {
    const elapsedMs = getElapsedMs();
    if (elapsedMs >= graceMs - EXIT_MARGIN_MS) return true;
    const quietMs = clock.monotonicMs() - lastArrivalMs;
    return elapsedMs >= graceMs * MIN_STAY_SHARE && quietMs >= MIN_QUIET_MS &&
      openResponses.size === 0;
  }

  const run = Effect.gen(function* () {
    startedMs = clock.monotonicMs();
    host.announceLeaving();
    for (const res of openResponses) setConnectionClose(res);
    host.onPhase("leaving", openResponses.size);
    while (!isDone()) yield* Effect.sleep(CHECK_INTERVAL_MS);
    host.onPhase("ending", openResponses.size);
    return { cut: openResponses.size, tookMs: Math.round(getElapsedMs()) };
  });

  return {
    isDraining: () => startedMs !== undefined,
    mayStartRequest(expectedMs) {
      if (startedMs === undefined) return true;
      const elapsedMs = getElapsedMs();
      if (elapsedMs <= graceMs * ADMIT_ALL_SHARE) return true;
      return expectedMs <= graceMs - EXIT_MARGIN_MS - elapsedMs;
    },
    track(res) {
      lastArrivalMs = clock.monotonicMs();
      openResponses.add(res);
      res.once("close", () => openResponses.delete(res));
      if (startedMs !== undefined) setConnectionClose(res);
    },
    countInFlight: () => openResponses.size,
    run,
  };
}
