/**
 * The crash events that one host knows. Merging is a union, so that hosts which
 * get the same events in any order, and any number of times, count the same.
 *
 * @module
 */

import { type Clock, dropOldest } from "../core/mod.ts";
import type { CrashEvent } from "./types.ts";

/** The events that one host knows. */
export interface CrashEvents {
  /** Adds or refutes an event; returns false if that was known. */
  merge(event: CrashEvent): boolean;
  get(fingerprint: string): readonly CrashEvent[];
  /** Number of upstream processes that ended under the content. */
  count(fingerprint: string): number;
}

/** An event is forgotten after this time, in ms. */
export const EVENT_TTL_MS = 10 * 60_000;

/** Limit on the contents with events; the one changed first is evicted. */
const MAX_CONTENTS = 2_000;

/** Creates an empty set of events. */
export function createCrashEvents(clock: Clock): CrashEvents {
  const contents = new Map<string, Map<string, CrashEvent>>();

  function get(fingerprint: string): readonly CrashEvent[] {
    const known = contents.get(fingerprint);
    if (known === undefined) return [];
    for (const [process, { atMs }] of known) {
      if (clock.wallMs() - atMs > EVENT_TTL_MS) known.delete(process);
    }
    return [...known.values()];
  }

  function set(event: CrashEvent): void {
    const { fingerprint, process } = event;
    const known = contents.get(fingerprint) ?? new Map<string, CrashEvent>();
    known.set(process, event);
    contents.delete(fingerprint);
    contents.set(fingerprint, known);
    dropOldest(contents, MAX_CONTENTS);
  }

  return {
    get,
    merge(event) {
      const known = contents.get(event.fingerprint)?.get(event.process);
      const isNew = known === undefined ||
        (known.state === "counted" && event.state === "refuted");
      if (isNew) set(event);
      return isNew;
    },
    count: (fingerprint) =>
      get(fingerprint).filter((each) => each.state === "counted").length,
  };
}
