/**
 * The entry host's side of slots: requests slots from owners while requests
 * wait at this host, gives each granted slot to the oldest request of its team,
 * keeps slots while no other host needs them, and returns them otherwise.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import {
  createTeamQueues,
  type QueuedRequest,
  type TeamQueues,
} from "../queue/mod.ts";
import type { AdmittedRequest, Upstream } from "../types.ts";
import type { Candidates } from "./upstream_selection.ts";
import { createKeptSlots, type KeptSlot } from "./kept_slots.ts";
import type {
  Grant,
  HeldSlot,
  KeptUse,
  KeptUses,
  Recall,
  Release,
  SlotRequest,
} from "./types.ts";
import { createSlotRequester, type SlotRequester } from "./slot_requester.ts";
import { createReportedWants } from "./reported_wants.ts";

/** How a request that used a slot ended, as reported by the request. */
export type SlotEnd = Omit<Release, "upstream" | "slot" | "team">;

/** A slot held by a request. */
export interface SlotHandle {
  readonly upstream: Upstream;
  /** Releases the slot; further calls have no effect. */
  release(end: SlotEnd): void;
}

/** Dependencies of the slot client, supplied by the process. */
export interface SlotClientHost {
  nowMs(): number;
  getCandidates(service: string): Candidates;
  tryGetUpstream(id: string): Upstream | undefined;
  /** Whether the upstream is being drained and takes no new requests. */
  isLeaving(upstream: string): boolean;
  /** Sends to the owner of the upstream, which may be this host. */
  sendRequest(req: SlotRequest): void;
  sendRelease(release: Release): void;
  sendKeptUses(uses: KeptUses): void;
  /** Receives the owner's hint of how many slots it can still grant. */
  onFreeHint(upstream: string, free: number): void;
}

/** Slots of all services, as seen from one entry host. */
export interface SlotClient {
  /**
   * Queues the request; calls `start` with the granted slot, possibly at once.
   */
  acquire(req: AdmittedRequest, start: (slot: SlotHandle) => void): void;
  /** Removes a waiting request; returns false when it already has its slot. */
  cancel(req: AdmittedRequest): boolean;
  receiveGrant(grant: Grant): void;
  receiveRecall(recall: Recall): void;
  /**
   * Sends the full state to the owner of the upstream, after the owner changed
   * or the connection to it was lost.
   */
  resync(upstream: string): void;
  /**
   * Sends the changes to the owners; called a few milliseconds after a change.
   */
  flush(): void;
  getQueues(service: string): TeamQueues<SlotHandle>;
  /** Whether this host uses, keeps or has requested slots of the upstream. */
  isUsing(upstream: string): boolean;
}

/**
 * How often the host reports requests on kept slots to their owner, in ms. The
 * owner's adaptive limit reacts with this delay.
 */
export const KEPT_USES_INTERVAL_MS = 500;

interface Service {
  readonly queues: TeamQueues<SlotHandle>;
  readonly requester: SlotRequester;
}

const UNUSED_END: SlotEnd = { cost: 0, firstByteMs: 0, result: "unused" };

/** Creates a slot client with empty queues. */
export function createSlotClient(host: SlotClientHost): SlotClient {
  const services = new Map<string, Service>();
  const reportedWants = createReportedWants();
  const kept = createKeptSlots();
  const keepableUpstreams = new Set<string>();
  /**
   * Teams by slot number of the slots that requests of this host use, by
   * upstream.
   */
  const slotsInUse = new Map<string, Map<number, string>>();
  const keptUses = new Map<string, KeptUse[]>();
  let keptUsesDueMs = Infinity;

  function createService(service: string): Service {
    const queues = createTeamQueues<SlotHandle>();
    const requester = createSlotRequester({
      queues,
      reportedWants,
      nowMs: host.nowMs,
      getCandidates: () => host.getCandidates(service),
      sendWants: (upstream, wants) =>
        host.sendRequest({ upstream, wants, full: false, held: [] }),
    });
    return { queues, requester };
  }

  function getService(service: string): Service {
    return getOrCreate(services, service, () => createService(service));
  }

  function tryDequeue(
    service: string,
    team: string,
  ): QueuedRequest<SlotHandle> | undefined {
    const { queues, requester } = getService(service);
    requester.markChanged(team);
    return queues.tryTake(team);
  }

  function createHandle(
    upstream: Upstream,
    slot: number,
    team: string,
  ): SlotHandle {
    const inUse = getOrCreate(slotsInUse, upstream.id, () => new Map());
    inUse.set(slot, team);
    let isReleased = false;
    return {
      upstream,
      release(end) {
        if (isReleased) return;
        isReleased = true;
        inUse.delete(slot);
        if (end.result === "answered" && mayKeepSlots(upstream.id)) {
          recordKeptUse(upstream.id, slot, end);
          reuseSlot(upstream, slot, team);
        } else {
          host.sendRelease({ upstream: upstream.id, slot, team, ...end });
        }
      },
    };
  }

  /**
   * Whether slots of the upstream may be kept: not while it is being drained,
   * since a kept slot must not bring new requests to it.
   */
  function mayKeepSlots(upstream: string): boolean {
    return keepableUpstreams.has(upstream) && !host.isLeaving(upstream);
  }

  function recordKeptUse(upstream: string, slot: number, end: SlotEnd): void {
    const { firstByteMs, tokenIntervalMs = 0 } = end;
    const use = { slot, firstByteMs, tokenIntervalMs };
    getOrCreate(keptUses, upstream, () => []).push(use);
    keptUsesDueMs = Math.min(
      keptUsesDueMs,
      host.nowMs() + KEPT_USES_INTERVAL_MS,
    );
  }

  /**
   * Gives the slot to the next request at this host, preferring the slot's
   * team; keeps the slot when no request waits.
   */
  function reuseSlot(upstream: Upstream, slot: number, team: string): void {
    const { queues } = getService(upstream.service);
    for (const each of [team, ...queues.getCounts().keys()]) {
      const next = tryDequeue(upstream.service, each);
      if (next === undefined) continue;
      next.start(createHandle(upstream, slot, each));
      return;
    }
    const sinceMs = host.nowMs();
    kept.add(upstream.service, { upstream: upstream.id, slot, sinceMs });
  }

  function tryTakeKept(req: AdmittedRequest): SlotHandle | undefined {
    while (true) {
      const slot = kept.tryTake(req.service);
      if (slot === undefined) return undefined;
      const upstream = host.tryGetUpstream(slot.upstream);
      if (upstream !== undefined && mayKeepSlots(upstream.id)) {
        return createHandle(upstream, slot.slot, req.team);
      }
      releaseKeptSlots([slot]);
    }
  }

  function releaseKeptSlots(slots: readonly KeptSlot[]): void {
    for (const { upstream, slot } of slots) {
      host.sendRelease({ upstream, slot, team: "", ...UNUSED_END });
    }
  }

  function stopKeepingSlots(upstream: string): void {
    keepableUpstreams.delete(upstream);
    releaseKeptSlots(kept.takeByUpstream(upstream));
  }

  function flushKeptUses(nowMs: number): void {
    if (nowMs < keptUsesDueMs) return;
    keptUsesDueMs = Infinity;
    for (const [upstream, uses] of keptUses) {
      host.sendKeptUses({ upstream, uses });
    }
    keptUses.clear();
  }

  function getHeld(upstream: string): readonly HeldSlot[] {
    return [...slotsInUse.get(upstream) ?? []].map(([slot, team]) => ({
      slot,
      team,
    }));
  }

  function resync(upstreamId: string): void {
    const upstream = host.tryGetUpstream(upstreamId);
    keepableUpstreams.delete(upstreamId);
    // A new owner does not know the idle kept slots, and an owner that receives
    // the full state frees them, since they are not among the held slots.
    kept.takeByUpstream(upstreamId);
    reportedWants.clear(upstreamId);
    if (upstream === undefined) return;
    host.sendRequest({
      upstream: upstreamId,
      wants: getService(upstream.service).requester.declare(upstreamId),
      full: true,
      held: getHeld(upstreamId),
    });
  }

  return {
    acquire(req, start) {
      const { queues, requester } = getService(req.service);
      const handle = queues.getTotal() === 0 ? tryTakeKept(req) : undefined;
      if (handle !== undefined) {
        start(handle);
        return;
      }
      queues.add({ req, start });
      requester.markChanged(req.team);
    },
    cancel(req) {
      const { queues, requester } = getService(req.service);
      requester.markChanged(req.team);
      return queues.remove(req);
    },
    receiveGrant(grant) {
      reportedWants.deductGrant(grant.upstream, grant.team);
      host.onFreeHint(grant.upstream, grant.free);
      if (grant.keep) keepableUpstreams.add(grant.upstream);
      else stopKeepingSlots(grant.upstream);
      const upstream = host.tryGetUpstream(grant.upstream);
      const next = upstream && tryDequeue(upstream.service, grant.team);
      if (upstream !== undefined && next !== undefined) {
        next.start(createHandle(upstream, grant.slot, grant.team));
      } else if (upstream !== undefined && grant.keep) {
        reuseSlot(upstream, grant.slot, grant.team);
      } else {
        host.sendRelease({
          upstream: grant.upstream,
          slot: grant.slot,
          team: grant.team,
          ...UNUSED_END,
        });
      }
    },
    receiveRecall(recall) {
      stopKeepingSlots(recall.upstream);
      if (recall.redeclare) resync(recall.upstream);
    },
    resync,
    flush() {
      for (const { requester } of services.values()) requester.flush();
      const nowMs = host.nowMs();
      releaseKeptSlots(kept.takeExpired(nowMs));
      flushKeptUses(nowMs);
    },
    getQueues: (service) => getService(service).queues,
    isUsing: (upstream) =>
      (slotsInUse.get(upstream)?.size ?? 0) > 0 ||
      reportedWants.hasAny(upstream) ||
      keepableUpstreams.has(upstream),
  };
}
