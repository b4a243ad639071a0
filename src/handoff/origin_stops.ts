/**
 * Which hosts stop whose connections this host has taken, and until when they
 * relay.
 *
 * Load: a host stops while its neighbours serve connections that it relays.
 * Failure prevented: a neighbour starts a request that can't end before the
 * relaying host does; it runs, and its connection is closed without a response.
 *
 * @module
 */

import { type Clock, startTimeout } from "../core/mod.ts";
import type { Ending } from "../types.ts";
import type { OriginStop, RelayId } from "./protocol.ts";

/** The stops that this host was told of. Disposal forgets them. */
export interface OriginStops extends Disposable {
  /** Records that an origin stops, or that it stops at another time. */
  record(stop: OriginStop): void;
  /**
   * Whether the relay is there until the deadline, in monotonic ms, as far as
   * is known.
   */
  lasts(relay: RelayId, deadlineMs: number): boolean;
  /**
   * Calls `run` when the origin of the relay is about to exit, unless disposed
   * of before. A response that it sends still reaches the caller.
   */
  onEnding(relay: RelayId, run: (ending: Ending) => void): Disposable;
}

/** A process of an origin that stops. */
interface StoppingOrigin extends Disposable {
  readonly endMs: number;
}

/** Time after an origin's end for which its stop is remembered, in ms. */
const REMEMBER_MS = 60_000;

/** Creates the state of a host that was told of no stop. */
export function createOriginStops(clock: Clock): OriginStops {
  /** By process of an origin, like the listeners. */
  const stopping = new Map<string, StoppingOrigin>();
  const listeners = new Map<string, Set<(ending: Ending) => void>>();

  function endAll(key: string, ending: Ending): void {
    for (const run of [...listeners.get(key) ?? []]) run(ending);
  }

  function removeListener(key: string, run: (ending: Ending) => void): void {
    const runs = listeners.get(key);
    runs?.delete(run);
    if (runs?.size === 0) listeners.delete(key);
  }

  return {
    record(stop) {
      const key = getProcessKey(stop);
      stopping.get(key)?.[Symbol.dispose]();
      const stoppedMs = clock.monotonicMs();
      const endMs = stoppedMs + stop.leftMs;
      const end = startTimeout(
        stop.leftMs,
        () => endAll(key, { by: "origin", stoppedMs, exitMs: endMs }),
      );
      const forget = startTimeout(
        stop.leftMs + REMEMBER_MS,
        () => stopping.delete(key),
      );
      stopping.set(key, {
        endMs,
        [Symbol.dispose]() {
          end[Symbol.dispose]();
          forget[Symbol.dispose]();
        },
      });
    },
    lasts(relay, deadlineMs) {
      const stop = stopping.get(getProcessKey(relay));
      return stop === undefined || deadlineMs <= stop.endMs;
    },
    onEnding(relay, run) {
      const key = getProcessKey(relay);
      const runs = listeners.get(key) ?? new Set();
      listeners.set(key, runs.add(run));
      return { [Symbol.dispose]: () => removeListener(key, run) };
    },
    [Symbol.dispose]() {
      for (const each of stopping.values()) each[Symbol.dispose]();
      stopping.clear();
    },
  };
}

/** A process that starts at the address of another one is not stopping. */
function getProcessKey({ origin, incarnation }: OriginStop | RelayId): string {
  return `${origin} ${incarnation}`;
}
