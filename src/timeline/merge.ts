/**
 * Merges the events of all processes into one timeline. Timestamps of the
 * hybrid logical clock increase along every message, so that the order by
 * timestamp never shows an effect before its cause, however the hosts' wall
 * clocks differ.
 *
 * @module
 */

import type { TimelineEvent } from "./types.ts";

/** Merges events in causal order and removes duplicates. */
export function mergeEvents(
  lists: readonly (readonly TimelineEvent[])[],
): readonly TimelineEvent[] {
  const byStamp = new Map<string, TimelineEvent>();
  for (const event of lists.flat()) {
    // A host gives each of its events a unique timestamp.
    byStamp.set(`${event.at} ${event.host}`, event);
  }
  return [...byStamp.values()].sort(compareEvents);
}

/** Orders by timestamp, and events with equal timestamps by host. */
export function compareEvents(a: TimelineEvent, b: TimelineEvent): number {
  if (a.at !== b.at) return a.at - b.at;
  return a.host < b.host ? -1 : Number(a.host > b.host);
}
