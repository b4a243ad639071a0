/**
 * Asks the weight store for downloads, within its rate limit over the fleet.
 *
 * The store's own answer is the limit: it alone knows its rate, and a count of
 * ours on a row would cost a write for each download and could only be lower or
 * wrong. What the fleet owes it is to ask seldom when it says no.
 *
 * Load: one edit changes the model of hundreds of engines. Harm prevented: 390
 * hosts that ask again at once keep the store's limit used up by refusals.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { Clock } from "../core/mod.ts";
import type { WeightStore } from "../platform/mod.ts";

/** What reservations need of the process. */
export interface ReservationsHost {
  readonly clock: Clock;
  readonly weights: WeightStore;
  random(): number;
}

/** Reserves downloads for this host's upstreams. */
export interface Reservations {
  /** Whether asking is worth while: the last refusal is long enough ago. */
  canRequest(): boolean;
  /** False: not now; also while the store can't be reached. */
  tryReserve(model: string): Effect.Effect<boolean>;
}

/** A second is the unit of the store's limit. */
const INITIAL_BACKOFF_MS = 1_000;

/** With 390 hosts asking, 13 questions a second at the most. */
const MAX_BACKOFF_MS = 30_000;

/** Makes the host's gate; the first question may be asked at once. */
export function createReservations(host: ReservationsHost): Reservations {
  let nextAttemptMs = -Infinity;
  let refusals = 0;
  let isRequestPending = false;

  /** Full jitter: hosts that were refused together come back apart. */
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
