/**
 * Idle slots that this host keeps while no request waits at other hosts, so
 * that its next request starts without a message to the owner.
 *
 * Load: most of the day no team has a backlog. Failure prevented: each request
 * costs three messages, which at the planned fleet size would use up the whole
 * budget for control traffic.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";

/**
 * Longest time that a kept slot stays idle before it is returned, in ms. At
 * expected request rates a caller's next request comes sooner. A longer time
 * would make the owner's hint of free slots wrong.
 */
export const MAX_IDLE_MS = 2_000;

/** An idle slot. */
export interface KeptSlot {
  readonly upstream: string;
  readonly slot: number;
  readonly sinceMs: number;
}

/** The idle slots of one host. */
export interface KeptSlots {
  add(service: string, slot: KeptSlot): void;
  /** Removes and returns the slot used last, so that surplus slots expire. */
  tryTake(service: string): KeptSlot | undefined;
  /** Removes and returns all slots of the upstream. */
  takeByUpstream(upstream: string): readonly KeptSlot[];
  /** Removes and returns the slots that have been idle for too long. */
  takeExpired(nowMs: number): readonly KeptSlot[];
}

/** Creates an empty set of kept slots. */
export function createKeptSlots(): KeptSlots {
  const byService = new Map<string, KeptSlot[]>();

  function takeMatching(matches: (slot: KeptSlot) => boolean): KeptSlot[] {
    const taken: KeptSlot[] = [];
    for (const [service, slots] of byService) {
      const left = slots.filter((each) => !matches(each));
      if (left.length === slots.length) continue;
      taken.push(...slots.filter(matches));
      byService.set(service, left);
    }
    return taken;
  }

  return {
    add: (service, slot) =>
      void getOrCreate(byService, service, () => []).push(slot),
    tryTake: (service) => byService.get(service)?.pop(),
    takeByUpstream: (upstream) =>
      takeMatching((each) => each.upstream === upstream),
    takeExpired: (nowMs) =>
      takeMatching((each) => nowMs - each.sinceMs >= MAX_IDLE_MS),
  };
}
