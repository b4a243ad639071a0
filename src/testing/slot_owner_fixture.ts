/**
 * A slot owner for tests that records the messages it sends.
 *
 * @module
 */

import { createSlotOwner, tryPickLowestCounter } from "../slots/mod.ts";
import type { Grant, Recall } from "../slots/mod.ts";

/** Creates the owner of "engine-1"; "far…" hosts are in another region. */
export function createOwnerFixture(limit: number | (() => number)) {
  const grants: { to: string; grant: Grant }[] = [];
  const recalls: { to: string; recall: Recall }[] = [];
  const counters = new Map<string, number>();
  const unreachable = new Set<string>();
  /** Slots whose requests the adaptive limit counts as in flight. */
  const inFlight = new Set<number>();
  const owner = createSlotOwner("engine-1", {
    nowMs: () => 1_000,
    getCounter: (team) => counters.get(team) ?? 0,
    setWaiting() {},
    chargeStart: () => 0,
    chargeEnd: ({ team, cost }) =>
      counters.set(team, (counters.get(team) ?? 0) + cost),
    getLimit: () => typeof limit === "number" ? limit : limit(),
    tryPick: tryPickLowestCounter,
    getCrossRegionPenalty: () => 100,
    isSameRegion: (host) => !host.startsWith("far"),
    trySendGrant(to, grant) {
      if (unreachable.has(to)) return false;
      grants.push({ to, grant });
      return true;
    },
    sendRecall: (to, recall) => recalls.push({ to, recall }),
    onRequestStarted: (slot) => void inFlight.add(slot),
    onRequestEnded: ({ slot }) => void inFlight.delete(slot),
  });
  return { owner, grants, recalls, unreachable, inFlight };
}
