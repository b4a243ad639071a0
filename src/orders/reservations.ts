/**
 * Reserves downloads at the weight store, which limits their rate for the whole
 * fleet.
 *
 * The store's response is the only limit. Only the store knows its rate; a
 * counter in a table row would cost a write per download and could only be
 * lower than the store's limit or wrong. Hosts back off after a refusal.
 *
 * Load: one configuration edit changes the model of hundreds of engines.
 * Failure prevented: 390 hosts that retry at once use up the store's limit with
 * requests that it refuses.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { Clock } from "../core/mod.ts";
import type { WeightStore } from "../platform/mod.ts";

/** Dependencies of the reservations, supplied by the process. */
export interface ReservationsHost {
  readonly clock: Clock;
  readonly weights: WeightStore;
  random(): number;
}

/** Reserves downloads for this host's upstreams. */
export interface Reservations {
  /** False while a request is pending or the back-off has not ended. */
  canRequest(): boolean;
  /** False if refused, backing off, or the store is unreachable. */
  tryReserve(model: string): Effect.Effect<boolean>;
}

/** One second, since the store's limit is a number of downloads per second. */
const INITIAL_BACKOFF_MS = 1_000;

/**
 * Keeps the request rate of 390 hosts low: 13 requests per second if each waits
 * the full 30 s, at most twice that with jitter.
 */
const MAX_BACKOFF_MS = 30_000;

/** Creates the reservations of one host; the first request may go at once. */
export function createReservations(host: ReservationsHost): Reservations {
  let nextAttemptMs = -Infinity;
  let refusals = 0;
  let isRequestPending = false;

  /**
   * Exponential back-off with a jitter of half the delay, so that hosts that
   * were refused together do not retry together.
   */
  function backOff(): void {
    const maxDelayMs = Math.min(
      MAX_BACKOFF_MS,
      INITIAL_BACKOFF_MS * 2 ** refusals,
    );
    refusals++;
    nextAttemptMs = host.clock.monotonicMs() +
      maxDelayMs * (1 + host.random()) / 2;
  }

  function canRequest(): boolean {
    return !isRequestPending && host.clock.monotonicMs() >= nextAttemptMs;
  }

  return {
    canRequest,
    tryReserve: (model) =>
      Effect.suspend(() => {
        if (!canRequest()) return Effect.succeed(false);
        isRequestPending = true;
        return host.weights.tryReserve(model).pipe(
          Effect.catchTag("PlatformError", () => Effect.succeed(false)),
          Effect.tap((isReserved) =>
            Effect.sync(() => {
              if (isReserved) refusals = 0;
              else backOff();
            })
          ),
          Effect.ensuring(Effect.sync(() => isRequestPending = false)),
        );
      }),
  };
}
