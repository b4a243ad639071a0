/**
 * Drains an entry host between SIGTERM and its exit.
 *
 * Callers cache the list of hosts for seconds and keep their connections for
 * longer, so requests continue to arrive. From the signal on, this host is
 * absent from the answers to host queries, reports that it is not ready, and
 * closes each connection after its response. A request whose deadline is later
 * than the drain's end is refused as "not run", which is true because it was not
 * sent to an upstream. Requests that have started are completed, also those on
 * connections that were handed off between hosts; those that are open at the end
 * get a response of this host.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import * as Effect from "effect/Effect";
import type { Clock } from "../core/mod.ts";
import { onResponseClosed } from "../requests/caller.ts";
import { closeAfterLatest } from "../requests/last_response.ts";
import type { Ending } from "../types.ts";

/** The requests in flight and the state of the drain. */
export interface Drain {
  isDraining(): boolean;
  /**
   * Whether a request with this deadline, in monotonic ms, may start now. None
   * may once the drain has ended: its connection is about to be closed.
   */
  mayStartRequest(deadlineMs: number): boolean;
  /**
   * Counts the response as in flight until its connection has closed or its
   * last byte was sent.
   */
  track(res: ServerResponse): void;
  /**
   * Calls `run` when the drain ends, unless disposed of before. A response that
   * it sends is flushed before the exit.
   */
  onEnding(run: (ending: Ending) => void): Disposable;
  /** Responses and handed-off connections in flight. */
  countInFlight(): number;
  /**
   * Drains the host, which was asked to stop at this time, in monotonic ms;
   * returns the number of them that were open at its end.
   */
  run(askedMs: number): Effect.Effect<{ cut: number; tookMs: number }>;
}

/** Dependencies of the drain. */
export interface DrainHost {
  readonly clock: Clock;
  /** Time from SIGTERM to SIGKILL, in ms. */
  readonly graceMs: number;
  /**
   * Handed-off connections that are in flight and carry no response of this
   * host.
   */
  countHandoffs(): number;
  /**
   * Announces to the other hosts that this host is leaving. Its drain ends at
   * `endMs`, in monotonic ms.
   */
  announceLeaving(endMs: number): void;
  onPhase(phase: "leaving" | "ending", inFlight: number): void;
}

/** Time reserved for the exit of the process, in ms. */
const EXIT_MARGIN_MS = 400;

/**
 * Share of the grace period in which every request may start; the rest is left
 * for streams to complete. Most callers have queried the hosts again by then,
 * since they cache the answer for 2 s. A request that starts after three
 * eighths of the grace period and is cut off at its end counts as lost, and
 * this host may receive the signal 100 ms after it was sent.
 */
const ADMIT_ALL_SHARE = 1 / 4;

/**
 * Minimum share of the grace period for which a host without requests keeps
 * running, because late callers still arrive.
 */
const MIN_STAY_SHARE = 5 / 8;

/**
 * The host also keeps running until no request has arrived for this time, in
 * ms.
 */
const MIN_QUIET_MS = 1_000;

/** Limit on the time in which the responses of the end are sent, in ms. */
const MAX_FLUSH_MS = 150;

const CHECK_INTERVAL_MS = 50;

const FLUSH_CHECK_INTERVAL_MS = 5;

/** Creates the drain of a host that is serving. */
export function createDrain(host: DrainHost): Drain {
  const { clock, graceMs } = host;
  const maxDrainMs = graceMs - EXIT_MARGIN_MS;
  const openResponses = new Set<ServerResponse>();
  const endingListeners = new Set<(ending: Ending) => void>();
  let startedMs: number | undefined;
  let hasEnded = false;
  let lastArrivalMs = clock.monotonicMs();

  function getElapsedMs(): number {
    return startedMs === undefined ? 0 : clock.monotonicMs() - startedMs;
  }

  const countInFlight = () => openResponses.size + host.countHandoffs();

  function isDone(): boolean {
    const elapsedMs = getElapsedMs();
    if (elapsedMs >= maxDrainMs) return true;
    const quietMs = clock.monotonicMs() - lastArrivalMs;
    return elapsedMs >= graceMs * MIN_STAY_SHARE && quietMs >= MIN_QUIET_MS &&
      countInFlight() === 0;
  }

  /** Waits, for a short time only, until all responses are sent. */
  const flush = Effect.gen(function* () {
    while (countInFlight() > 0) yield* Effect.sleep(FLUSH_CHECK_INTERVAL_MS);
  }).pipe(Effect.raceFirst(Effect.sleep(MAX_FLUSH_MS)));

  const run = Effect.fnUntraced(function* (askedMs: number) {
    startedMs = askedMs;
    const endMs = askedMs + maxDrainMs;
    host.announceLeaving(endMs);
    for (const res of openResponses) closeAfterLatest(res);
    host.onPhase("leaving", countInFlight());
    while (!isDone()) yield* Effect.sleep(CHECK_INTERVAL_MS);
    hasEnded = true;
    host.onPhase("ending", countInFlight());
    const ending: Ending = { by: "self", stoppedMs: askedMs, exitMs: endMs };
    const cut = countInFlight();
    for (const end of [...endingListeners]) end(ending);
    yield* flush;
    return { cut, tookMs: Math.round(getElapsedMs()) };
  });

  return {
    isDraining: () => startedMs !== undefined,
    mayStartRequest(deadlineMs) {
      if (startedMs === undefined) return true;
      if (hasEnded) return false;
      if (getElapsedMs() <= graceMs * ADMIT_ALL_SHARE) return true;
      // An expected duration would not do: what was sent can't be taken back.
      return deadlineMs <= startedMs + maxDrainMs;
    },
    track(res) {
      lastArrivalMs = clock.monotonicMs();
      openResponses.add(res);
      onResponseClosed(res, () => openResponses.delete(res));
      if (startedMs !== undefined) closeAfterLatest(res);
    },
    onEnding(run) {
      endingListeners.add(run);
      return { [Symbol.dispose]: () => void endingListeners.delete(run) };
    },
    countInFlight,
    run,
  };
}
