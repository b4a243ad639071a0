/**
 * Upstreams that have asked this host for a rest.
 *
 * Load: an upstream that sheds its load refuses at once, and so has the least to
 * do of all. Harm prevented: it is chosen before all others, request after request
 * is refused there, and each takes from the retries that all hosts share.
 *
 * A rest holds for one start of the upstream and for this host alone. It counts
 * from when the answer was read, by a clock that no change of the time of day
 * moves, so that it ends here no sooner than at the upstream.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { UpstreamInstance } from "../discovery/mod.ts";

/** The rests that this host was asked for. */
export interface RestWatch {
  /** The upstream wants no request for so long, in ms. */
  note(life: UpstreamInstance, restMs: number): void;
  /** What is left of the rest, in ms; 0 for none. */
  getLeftMs(life: UpstreamInstance): number;
  /** An answer shows that the upstream takes requests again. */
  noteAnswered(life: UpstreamInstance): void;
  /**
   * Those that may get a request now. One that has just rested gets a few at a
   * time until it has answered some, unless there is no other.
   */
  filterOpen<T extends UpstreamInstance>(
    upstreams: readonly T[],
    getInFlight: (id: string) => number,
  ): readonly T[];
}

/** Requests in flight from this host that the first ones after a rest may be. */
const FIRST_IN_FLIGHT = 1;

/** Each answer allows so many times as many; at the most all are allowed. */
const GROWTH = 2;
const MOST_IN_FLIGHT = 16;

/** A rest that ended so long ago, in ms, is forgotten. */
const FORGET_MS = 60_000;

interface Rest {
  readonly incarnation: number;
  untilMs: number;
  /** In flight at once, from the end of the rest on. */
  allowed: number;
}

/** Makes a watch that knows of no rest. */
export function createRestWatch(clock: Clock): RestWatch {
  const rests = new Map<string, Rest>();

  function tryGet({ id, incarnation }: UpstreamInstance): Rest | undefined {
    const rest = rests.get(id);
    return rest?.incarnation === incarnation ? rest : undefined;
  }

  function getLeftMs(life: UpstreamInstance): number {
    const untilMs = tryGet(life)?.untilMs ?? -Infinity;
    return Math.max(0, untilMs - clock.monotonicMs());
  }

  function forgetOld(nowMs: number): void {
    for (const [id, { untilMs }] of rests) {
      if (nowMs - untilMs > FORGET_MS) rests.delete(id);
    }
  }

  return {
    note(life, restMs) {
      const nowMs = clock.monotonicMs();
      forgetOld(nowMs);
      const untilMs = nowMs + restMs;
      // Of several rests the one that ends last holds.
      const knownMs = tryGet(life)?.untilMs ?? -Infinity;
      rests.set(life.id, {
        incarnation: life.incarnation,
        untilMs: Math.max(untilMs, knownMs),
        allowed: FIRST_IN_FLIGHT,
      });
    },
    getLeftMs,
    noteAnswered(life) {
      const rest = tryGet(life);
      // What was sent before the rest may still be answered in it.
      if (rest === undefined || getLeftMs(life) > 0) return;
      rest.allowed *= GROWTH;
      if (rest.allowed > MOST_IN_FLIGHT) rests.delete(life.id);
    },
    filterOpen(upstreams, getInFlight) {
      if (rests.size === 0) return upstreams;
      const open = upstreams.filter((each) => getLeftMs(each) === 0);
      const eased = open.filter((each) =>
        getInFlight(each.id) < (tryGet(each)?.allowed ?? Infinity)
      );
      return eased.length > 0 ? eased : open;
    },
  };
}
