/**
 * Slots that stay at this host while nobody else waits, so that a request that
 * comes next starts without a message.
 *
 * Load: most of the day no team is backlogged. Harm prevented: three messages
 * for each request, which at the goal size would take the whole control budget.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";

/**
 * A kept slot idles here so long at most before it goes back. Callers' gaps are
 * shorter at today's rates; longer, and the owner's hint of free slots lies.
 */
export const MAX_IDLE_MS = 2_000;

/** A slot that was put by. */
export interface KeptSlot {
  readonly upstream: string;
  readonly slot: number;
  readonly sinceMs: number;
}

/** The idle slots kept at one host. */
export interface KeptSlots {
  add(service: string, slot: KeptSlot): void;
  /** The one used last, taken out: the others then expire. */
  tryTake(service: string): KeptSlot | undefined;
  /** Takes out all of one upstream. */
  takeByUpstream(upstream: string): readonly KeptSlot[];
  /** Takes out those that idled too long. */
  takeExpired(nowMs: number): readonly KeptSlot[];
}

/** Makes an empty store. */
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
