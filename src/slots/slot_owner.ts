/**
 * Grants the slots of one upstream to the hosts where requests wait, and takes
 * them back.
 *
 * Load: there are more requests than slots, at hosts that each see only their
 * own callers. Failure prevented: the hosts together overload the upstream, or
 * a free slot stays idle while a request waits at another host.
 *
 * Ownership needs no lease: two owners at the same time can only admit too many
 * requests for a moment. While no request waits, a host keeps the slots that it
 * was granted and reuses them without a message. As soon as a waiting request
 * finds no free slot, the owner recalls the kept slots.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import type { PickPolicy } from "./pick.ts";
import type {
  Grant,
  HeldSlot,
  KeptUse,
  KeptUses,
  Recall,
  Release,
  SlotRequest,
  SlotResult,
} from "./types.ts";
import { createWaitingTeams, type GrantTarget } from "./waiting_teams.ts";

/** How a request that used a slot ended. */
export interface SlotRequestEnd extends KeptUse {
  readonly result: SlotResult;
}

/** Dependencies of a slot owner, supplied by the process. */
export interface SlotOwnerHost {
  nowMs(): number;
  /** The team's fleet-wide counter for the upstream's service. */
  getCounter(team: string): number;
  /** Sets whether any request of the team waits for this upstream. */
  setWaiting(team: string, isWaiting: boolean): void;
  /**
   * Charges the team for a request that starts; returns the charged cost units.
   */
  chargeStart(team: string): number;
  /** Replaces the charge of a request that ended by its real cost. */
  chargeEnd(release: Release, charged: number): void;
  /** Number of slots that may currently be in use at once. */
  getLimit(): number;
  tryPick: PickPolicy;
  getCrossRegionPenalty(): number;
  /** Whether the host is in the region of the upstream. */
  isSameRegion(entryHost: string): boolean;
  /** Returns false when there is no connection to the host. */
  trySendGrant(entryHost: string, grant: Grant): boolean;
  sendRecall(entryHost: string, recall: Recall): void;
  /** Report the start and the end of a request to the adaptive limit. */
  onRequestStarted(slot: number): void;
  onRequestEnded(end: SlotRequestEnd): void;
}

/** Grants the slots of one upstream. */
export interface SlotOwner {
  receiveRequest(entryHost: string, req: SlotRequest): void;
  receiveRelease(entryHost: string, release: Release): void;
  receiveKeptUses(uses: KeptUses): void;
  /**
   * Removes a dead host: its waiting requests are dropped and its slots are
   * freed.
   */
  removeHost(entryHost: string): void;
  /** Asks a host that came back to send its held slots and waiting requests. */
  requestResync(entryHost: string): void;
  /**
   * Grants free slots, after the limit has risen or this host has become the
   * owner.
   */
  grantFreeSlots(): void;
  /**
   * Refunds the charges of requests in flight, when another host becomes the
   * owner.
   */
  refundAll(): void;
  getInUse(): number;
  getWaiting(): number;
}

interface ChargedSlot {
  readonly team: string;
  readonly charged: number;
}

/** Requests of one team that wait at one host. */
interface TeamRequests {
  readonly count: number;
  /** When the oldest request began to wait, in monotonic milliseconds. */
  readonly sinceMs: number;
}

interface EntryHostState {
  readonly wants: Map<string, TeamRequests>;
  readonly slots: Map<number, ChargedSlot>;
  mayKeepSlots: boolean;
}

const NO_REQUESTS: TeamRequests = { count: 0, sinceMs: 0 };

/**
 * Creates the owner of the upstream's slots, with no slot in use. Slot numbers
 * start at `firstSlot`, so that successive owners use different numbers.
 */
export function createSlotOwner(
  upstream: string,
  host: SlotOwnerHost,
  firstSlot = 1,
): SlotOwner {
  const entryHosts = new Map<string, EntryHostState>();
  const waiting = createWaitingTeams();
  let inUse = 0;
  let nextSlot = firstSlot;

  function getState(entryHost: string): EntryHostState {
    return getOrCreate(entryHosts, entryHost, () => ({
      wants: new Map(),
      slots: new Map(),
      mayKeepSlots: false,
    }));
  }

  function setWant(target: GrantTarget, want: TeamRequests): void {
    const { entryHost, team } = target;
    const state = getState(entryHost);
    const wasWaiting = waiting.has(team);
    if (want.count > 0) {
      const { sinceMs } = want;
      waiting.set(target, {
        isSameRegion: host.isSameRegion(entryHost),
        sinceMs,
      });
      state.wants.set(team, want);
    } else {
      state.wants.delete(team);
      waiting.remove(target);
    }
    const isWaiting = waiting.has(team);
    if (isWaiting !== wasWaiting) host.setWaiting(team, isWaiting);
  }

  function clearWants(entryHost: string): void {
    const state = getState(entryHost);
    for (const team of [...state.wants.keys()]) {
      setWant({ entryHost, team }, NO_REQUESTS);
    }
  }

  /**
   * Deducts the granted request. The age of the next request is unknown until
   * the host reports it, so the waiting requests are assumed to have arrived
   * evenly between the oldest arrival and now.
   */
  function deductGrant(target: GrantTarget): void {
    const { count, sinceMs } = getState(target.entryHost).wants.get(
      target.team,
    )!;
    const gapMs = (host.nowMs() - sinceMs) / count;
    setWant(target, { count: count - 1, sinceMs: sinceMs + gapMs });
  }

  /** Reports to the adaptive limit that no request uses this slot any more. */
  function markUnused(slot: number): void {
    host.onRequestEnded({
      slot,
      firstByteMs: 0,
      tokenIntervalMs: 0,
      result: "unused",
    });
  }

  function isHeld(slot: number): boolean {
    for (const state of entryHosts.values()) {
      if (state.slots.has(slot)) return true;
    }
    return false;
  }

  /**
   * Slots that this owner granted stay charged; the others were granted by a
   * previous owner and are not charged.
   */
  function replaceHeld(
    state: EntryHostState,
    held: readonly HeldSlot[],
  ): void {
    const known = new Map(state.slots);
    const heldIds = new Set(held.map((each) => each.slot));
    for (const slot of known.keys()) if (!heldIds.has(slot)) markUnused(slot);
    state.slots.clear();
    for (const { slot, team } of held) {
      state.slots.set(slot, known.get(slot) ?? { team, charged: 0 });
    }
    inUse += state.slots.size - known.size;
  }

  function grantFreeSlots(): void {
    while (inUse < host.getLimit()) {
      const target = host.tryPick({
        waiting: waiting.getByTeam(),
        getCounter: host.getCounter,
        crossRegionPenalty: host.getCrossRegionPenalty(),
      });
      if (target === undefined) return;
      grant(target);
    }
    // Kept slots are also recalled when the limit has fallen below the slots in
    // use.
    const exceedsLimit = inUse > host.getLimit();
    if (waiting.getByTeam().size > 0 || exceedsLimit) recallKeptSlots();
  }

  function grant(target: GrantTarget): void {
    const { entryHost, team } = target;
    const state = getState(entryHost);
    deductGrant(target);
    const slot = nextSlot++;
    const othersWait = waiting.getByTeam().size > 0;
    state.mayKeepSlots = !othersWait && host.isSameRegion(entryHost);
    const isSent = host.trySendGrant(entryHost, {
      upstream,
      slot,
      team,
      keep: state.mayKeepSlots,
      free: Math.max(0, host.getLimit() - inUse - 1),
    });
    // Without a connection the slot would stay idle until the host is found
    // dead. The owner also discards what it knows of the host's waiting
    // requests; the host reports them again once it has reconnected.
    if (!isSent) {
      clearWants(entryHost);
      return;
    }
    state.slots.set(slot, { team, charged: host.chargeStart(team) });
    inUse++;
    host.onRequestStarted(slot);
  }

  /**
   * Recalls the kept slots, which may be idle while a request waits at another
   * host.
   */
  function recallKeptSlots(): void {
    for (const [entryHost, state] of entryHosts) {
      if (!state.mayKeepSlots) continue;
      state.mayKeepSlots = false;
      host.sendRecall(entryHost, { upstream, redeclare: false });
    }
  }

  return {
    receiveRequest(entryHost, req) {
      if (req.full) {
        replaceHeld(getState(entryHost), req.held);
        const wanted = new Set(req.wants.map((want) => want.team));
        for (const team of [...getState(entryHost).wants.keys()]) {
          if (!wanted.has(team)) setWant({ entryHost, team }, NO_REQUESTS);
        }
      }
      const nowMs = host.nowMs();
      for (const { team, waiting: count, ageMs } of req.wants) {
        setWant({ entryHost, team }, { count, sinceMs: nowMs - ageMs });
      }
      grantFreeSlots();
    },
    receiveRelease(entryHost, release) {
      const state = getState(entryHost);
      const used = state.slots.get(release.slot);
      // A release may arrive twice, or may have been sent before a reconnect.
      if (used === undefined) return;
      state.slots.delete(release.slot);
      inUse--;
      host.chargeEnd(release, used.charged);
      host.onRequestEnded({ tokenIntervalMs: 0, ...release });
      grantFreeSlots();
    },
    receiveKeptUses(uses) {
      for (const each of uses.uses) {
        host.onRequestEnded({ ...each, result: "answered" });
        // A slot that the same frame has released is no longer in use.
        if (isHeld(each.slot)) host.onRequestStarted(each.slot);
        else markUnused(each.slot);
      }
      grantFreeSlots();
    },
    removeHost(entryHost) {
      const state = entryHosts.get(entryHost);
      if (state === undefined) return;
      clearWants(entryHost);
      inUse -= state.slots.size;
      entryHosts.delete(entryHost);
      for (const slot of state.slots.keys()) markUnused(slot);
      grantFreeSlots();
    },
    requestResync(entryHost) {
      host.sendRecall(entryHost, { upstream, redeclare: true });
    },
    grantFreeSlots,
    refundAll() {
      for (const [entryHost, state] of entryHosts) {
        clearWants(entryHost);
        for (const [slot, { team, charged }] of state.slots) {
          const unused = { cost: 0, firstByteMs: 0, result: "unused" as const };
          host.chargeEnd({ upstream, slot, team, ...unused }, charged);
        }
      }
    },
    getInUse: () => inUse,
    getWaiting() {
      let count = 0;
      for (const state of entryHosts.values()) {
        for (const want of state.wants.values()) count += want.count;
      }
      return count;
    },
  };
}
