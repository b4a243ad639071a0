/**
 * The crash events that one host knows. Merging is a union, so that hosts which
 * get the same events in any order, and any number of times, count the same.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import { isPart } from "./subjects.ts";
import type { CrashEvent } from "./types.ts";
import { isSuspect, type KnownCrashes } from "./verdict.ts";

/** The events that one host knows. */
export interface CrashEvents extends KnownCrashes {
  /** Adds or refutes an event; returns false if that was known. */
  merge(event: CrashEvent): boolean;
  get(subject: string): readonly CrashEvent[];
  /** Number of upstream processes that ended under the subject. */
  count(subject: string): number;
}

/**
 * An event is forgotten at a host this long after the host has learned of it, in
 * ms, whatever happens to the hosts' wall clocks.
 */
export const EVENT_TTL_MS = 10 * 60_000;

/** Crashes from which on a part may explain those of others. */
const MIN_RIVAL_CRASHES = 3;

/**
 * Time for which a host must have known of a crash to hold it against a part, in
 * ms. It knows at once of the prompts that it has sent itself; which other parts
 * were there, and what refutes them, it hears by several datagrams.
 */
const SETTLE_MS = 1_500;

/** Limit on the subjects with events; the one changed first is evicted. */
const MAX_SUBJECTS = 2_000;

/** Limit on all events; the subject that changed first is evicted with its own. */
const MAX_EVENTS = 20_000;

interface KnownEvent {
  readonly event: CrashEvent;
  /** Monotonic time at which this host learned of the event, in ms. */
  readonly sinceMs: number;
}

/** Creates an empty set of events. */
export function createCrashEvents(clock: Clock): CrashEvents {
  const subjects = new Map<string, Map<string, KnownEvent>>();
  /** Number of all events. */
  let total = 0;
  /** Parts that may explain the crashes of others; all suspects are among them. */
  const rivals = new Set<string>();

  function getKnown(subject: string): readonly KnownEvent[] {
    const known = subjects.get(subject);
    if (known === undefined) return [];
    const nowMs = clock.monotonicMs();
    for (const [process, { sinceMs }] of known) {
      if (nowMs - sinceMs <= EVENT_TTL_MS) continue;
      known.delete(process);
      total--;
    }
    return [...known.values()];
  }

  function get(subject: string): readonly CrashEvent[] {
    return getKnown(subject).map(({ event }) => event);
  }

  function getCounted(subject: string): readonly CrashEvent[] {
    return get(subject).filter((each) => each.state === "counted");
  }

  function getSettled(subject: string): readonly CrashEvent[] {
    const dueMs = clock.monotonicMs() - SETTLE_MS;
    return getKnown(subject)
      .filter(({ event, sinceMs }) =>
        event.state === "counted" && sinceMs <= dueMs
      )
      .map(({ event }) => event);
  }

  function evictOldest(): void {
    const [oldest] = subjects;
    if (oldest === undefined) return;
    const [subject, known] = oldest;
    total -= known.size;
    subjects.delete(subject);
    rivals.delete(subject);
  }

  function set(event: CrashEvent): void {
    const { subject, process } = event;
    const known = subjects.get(subject) ?? new Map<string, KnownEvent>();
    if (!known.has(process)) total++;
    known.set(process, { event, sinceMs: clock.monotonicMs() });
    subjects.delete(subject);
    subjects.set(subject, known);
    while (subjects.size > MAX_SUBJECTS || total > MAX_EVENTS) evictOldest();
    if (isPart(subject)) updateRival(subject);
  }

  function updateRival(part: string): void {
    if (getCounted(part).length >= MIN_RIVAL_CRASHES) rivals.add(part);
    else rivals.delete(part);
  }

  return {
    get,
    getCounted,
    getRivals: (crashes) =>
      [...rivals].filter((each) => getCounted(each).length >= crashes),
    getSettled,
    getSuspectParts: () =>
      [...rivals].filter((each) => isSuspect(each, getSettled(each))),
    merge(event) {
      const known = subjects.get(event.subject)?.get(event.process);
      const isNew = known === undefined ||
        (known.event.state === "counted" && event.state === "refuted");
      if (isNew) set(event);
      return isNew;
    },
    count: (subject) => getCounted(subject).length,
  };
}
