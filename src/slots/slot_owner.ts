/**
 * Grants the slots of one upstream to the waiting hosts and takes them back.
 *
 * Load: more requests than slots, from hosts that see only their own callers.
 * Harm prevented: hosts together overrun the upstream, or a free slot idles
 * while a request waits at another host.
 *
 * Ownership is soft. Two owners for a moment over-admit and nothing worse, so
 * it needs no lease. While nobody waits, a host keeps the slots that it was
 * granted and uses them without a message; as soon as a request waits that
 * finds no free slot, the owner recalls what is kept.
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

/** How a use of a slot ended. */
export interface SlotRequestEnd extends KeptUse {
  readonly result: SlotResult;
}

/** What an owner needs of the process. */
export interface SlotOwnerHost {
  nowMs(): number;
  /** The team's fleet-wide counter for the upstream's service. */
  getCounter(team: string): number;
  /** Whether any request of the team waits for this upstream. */
  setWaiting(team: string, isWaiting: boolean): void;
  /** Charges a request that begins; gives the cost units charged. */
  chargeStart(team: string): number;
  /** Corrects the charge of a request that ended. */
  chargeEnd(release: Release, charged: number): void;
  /** Slots that may be in use at once, now. */
  getLimit(): number;
  tryPick: PickPolicy;
  getCrossRegionPenalty(): number;
  /** Whether the host is of the upstream's region. */
  isSameRegion(entryHost: string): boolean;
  /** False when there is no link to the host. */
  trySendGrant(entryHost: string, grant: Grant): boolean;
  sendRecall(entryHost: string, recall: Recall): void;
  /** Tell the adaptive limit that a use began, and how it ended. */
  onRequestStarted(slot: number): void;
  onRequestEnded(end: SlotRequestEnd): void;
}

/** The owner's side of one upstream's slots. */
export interface SlotOwner {
  receiveRequest(entryHost: string, req: SlotRequest): void;
  receiveRelease(entryHost: string, release: Release): void;
  receiveKeptUses(uses: KeptUses): void;
  /** Forgets a host that is dead: its wants go, its slots are free. */
  removeHost(entryHost: string): void;
  /** Asks a host that came back for what it holds and wants. */
  requestRedeclaration(entryHost: string): void;
  /** Grants what is free, after the limit rose or an owner took over. */
  grantFreeSlots(): void;
  /** Takes back the charges of requests in flight, when ownership moves on. */
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
  /** When the oldest began to wait, in ms. */
  readonly sinceMs: number;
}

interface EntryHostState {
  readonly wants: Map<string, TeamRequests>;
  readonly slots: Map<number, ChargedSlot>;
  mayKeepSlots: boolean;
}

const NO_REQUESTS: TeamRequests = { count: 0, sinceMs: 0 };

/**
 * Makes the owner's state for the upstream; no slot is in use. Slots are
 * numbered from the first given, so that successive owners use other numbers.
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
   * Takes one off by a grant. The next request came later; until the host tells
   * its age, the waiting ones are taken as evenly spread up to now.
   */
  function deductGrant(target: GrantTarget): void {
    const { count, sinceMs } = getState(target.entryHost).wants.get(
      target.team,
    )!;
    const gapMs = (host.nowMs() - sinceMs) / count;
    setWant(target, { count: count - 1, sinceMs: sinceMs + gapMs });
  }

  /** Tells the limit that nothing of this slot is in flight any more. */
  function reportUnused(slot: number): void {
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

  /** Slots known from grants stay charged; others were granted elsewhere. */
  function replaceHeld(
    state: EntryHostState,
    held: readonly HeldSlot[],
  ): void {
    const known = new Map(state.slots);
    const heldSlots = new Set(held.map((each) => each.slot));
    for (const slot of known.keys()) {
      if (!heldSlots.has(slot)) reportUnused(slot);
    }
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
    // Hosts may keep too many slots, too, when the limit fell or is zero.
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
    // Without a link the slot would idle until the host is found dead. Its
    // wants go too; it declares them anew once it has dialed again.
    if (!isSent) {
      clearWants(entryHost);
      return;
    }
    state.slots.set(slot, { team, charged: host.chargeStart(team) });
    inUse++;
    host.onRequestStarted(slot);
  }

  /** A kept slot may idle at its host while a request waits at another. */
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
      // A release may come twice, or from before a reconnect.
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
        // A slot given back since then, in the same frame, is in no use.
        if (isHeld(each.slot)) host.onRequestStarted(each.slot);
        else reportUnused(each.slot);
      }
      grantFreeSlots();
    },
    removeHost(entryHost) {
      const state = entryHosts.get(entryHost);
      if (state === undefined) return;
      clearWants(entryHost);
      inUse -= state.slots.size;
      entryHosts.delete(entryHost);
      for (const slot of state.slots.keys()) reportUnused(slot);
      grantFreeSlots();
    },
    requestRedeclaration(entryHost) {
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
