/**
 * Connects slot ownership, slot requests and counters to the links between
 * hosts: determines the owner of each upstream and routes each message to its
 * receiver.
 *
 * @module
 */

import type { Frame } from "../generated/peer_pb.ts";
import { tryGetOwner } from "../membership/mod.ts";
import { createSlotClient, tryPickLowestCounter } from "../slots/mod.ts";
import type { KeptUses, Release, SlotRequest } from "../slots/mod.ts";
import type { Upstream } from "../types.ts";
import { createTreeExchange } from "./counter_exchange.ts";
import { createCounterCodec } from "./counter_codec.ts";
import { createEarlyRequesters } from "./early_requesters.ts";
import { type FrameHandlers, receiveFrame, toWireResult } from "./frames.ts";
import { createLinks } from "./links.ts";
import { createMemberWatch } from "./member_watch.ts";
import { createOutbox } from "./outbox.ts";
import { createOwnedUpstreams } from "./owned_upstreams.ts";
import { createOwnership, type OwnerChange } from "./ownership.ts";
import { createPlacer } from "./placer.ts";
import type { Fleet, FleetHost, FleetPolicy } from "./types.ts";

/** The policies that the router uses. */
export const defaultFleetPolicy: FleetPolicy = {
  tryPick: tryPickLowestCounter,
  createExchange: createTreeExchange,
  tryGetOwner,
};

/**
 * Creates the fleet coordination; call `reconcile` after each change of members
 * or of the deployment.
 */
export function createFleet(host: FleetHost): Fleet {
  const ownership = createOwnership(host);
  const earlyRequesters = createEarlyRequesters();
  const placer = createPlacer(host);
  const counterCodec = createCounterCodec(host.getDeployment);
  const memberWatch = createMemberWatch(host.membership);

  const links = createLinks(host, {
    onOpen: (peer) => ownership.getOwnedBy(peer).forEach(slots.resync),
    onFrame: (peer, frame) => receive(peer, frame),
    isNeeded: (peer) => ownership.getOwnedBy(peer).some(slots.isUsing),
  });

  const outbox = createOutbox({
    trySend(peer, frame) {
      frame.hlc = host.hybridClock.tick();
      return links.trySend(peer, frame) || host.trySendBack(peer, frame);
    },
    onControlSent: host.onControlSent,
    onUndelivered: reclaimGrants,
  });

  const exchange = host.policy.createExchange(host, {
    sendReport(peer, report) {
      links.ensure(peer);
      outbox.add(peer, "counterReports", counterCodec.encodeReport(report));
    },
    sendView(peer, view) {
      outbox.add(peer, "counterViews", counterCodec.encodeView(view));
    },
  });

  const owned = createOwnedUpstreams(host, {
    getLeaf: exchange.getLeaf,
    trySendGrant(entryHost, grant) {
      if (entryHost === host.id) {
        // Deferred, so that an owner is not called back while it iterates over
        // its wants.
        host.defer(() => slots.receiveGrant(grant));
        return true;
      }
      if (!canSend(entryHost)) return false;
      outbox.add(entryHost, "grants", grant);
      return true;
    },
    sendRecall(entryHost, recall) {
      if (entryHost === host.id) host.defer(() => slots.receiveRecall(recall));
      else outbox.add(entryHost, "recalls", recall);
    },
  });

  const slots = createSlotClient({
    nowMs: host.clock.monotonicMs,
    getCandidates: placer.getCandidates,
    tryGetUpstream: (id) =>
      host.getDeployment()?.upstreams.find((each) => each.id === id),
    isLeaving: host.isUpstreamLeaving,
    onFreeHint: placer.onFreeHint,
    sendRequest(req) {
      const owner = ownership.get(req.upstream);
      if (owner === undefined) return;
      if (owner === host.id) {
        handlers.onSlotRequest(host.id, req);
        return;
      }
      links.ensure(owner);
      // When the link opens, the slot client sends its full state to the owner,
      // so messages before that need not be queued.
      if (!links.isOpen(owner)) return;
      outbox.add(owner, "slotRequests", toWireRequest(req));
    },
    sendRelease(release) {
      const owner = ownership.get(release.upstream);
      if (owner === host.id) handlers.onRelease(host.id, release);
      else if (owner !== undefined) addRelease(owner, release);
    },
    sendKeptUses(uses) {
      const owner = ownership.get(uses.upstream);
      if (owner === host.id) handlers.onKeptUses(host.id, uses);
      else if (owner !== undefined) {
        outbox.add(owner, "keptUses", toWireUses(uses));
      }
    },
  });

  const handlers: FrameHandlers = {
    onSlotRequest(from, req) {
      const owner = owned.tryGet(req.upstream);
      if (owner === undefined) earlyRequesters.add(req.upstream, from);
      else owner.receiveRequest(from, req);
    },
    onRelease: (from, release) =>
      owned.tryGet(release.upstream)?.receiveRelease(from, release),
    onKeptUses: (_from, uses) =>
      owned.tryGet(uses.upstream)?.receiveKeptUses(uses),
    onGrant(from, grant) {
      // A host that is no longer the owner may not know it yet and may still
      // grant. The slot is returned to it unused: the new owner did not grant
      // the slot and must not get its release.
      if (ownership.get(grant.upstream) === from) slots.receiveGrant(grant);
      else addRelease(from, toUnused(grant));
    },
    onRecall: (_from, recall) => slots.receiveRecall(recall),
    onReport: (from, report) =>
      exchange.receiveReport(from, counterCodec.decodeReport(report)),
    onView: (from, view) =>
      exchange.receiveView(from, counterCodec.decodeView(view)),
  };

  function addRelease(owner: string, release: Release): void {
    const result = toWireResult(release.result);
    outbox.add(owner, "releases", { ...release, result });
  }

  function canSend(peer: string): boolean {
    return links.isOpen(peer) || host.isDialedBy(peer);
  }

  function receive(peer: string, frame: Frame): void {
    host.hybridClock.receive(frame.hlc);
    receiveFrame(peer, frame, handlers);
  }

  /**
   * Returns grants to their owners when the link broke before the flush, so
   * that the slots are free at once.
   */
  function reclaimGrants(peer: string, frame: Frame): void {
    for (const grant of frame.grants) {
      owned.tryGet(grant.upstream)?.receiveRelease(peer, toUnused(grant));
    }
  }

  function takeOver(upstream: Upstream, mayHavePreviousOwner: boolean): void {
    owned.acquire(upstream, mayHavePreviousOwner);
    for (const entryHost of earlyRequesters.take(upstream.id)) {
      owned.tryGet(upstream.id)?.requestResync(entryHost);
    }
  }

  function applyOwnerChange({ upstream, owner, previous }: OwnerChange): void {
    host.recorder.record({
      kind: "owner-changed",
      upstream: upstream.id,
      owner,
    });
    if (previous === host.id) owned.drop(upstream.id);
    if (owner === host.id) takeOver(upstream, previous !== undefined);
    slots.resync(upstream.id);
  }

  function removeHost(peer: string): void {
    owned.removeHost(peer);
    exchange.removeHost(peer);
  }

  return {
    slots,
    receiveFrame: receive,
    reconcile() {
      for (const change of memberWatch.takeChanges()) {
        if (change.kind === "returned") owned.requestResync(change.host);
        else removeHost(change.host);
      }
      for (const change of ownership.update()) applyOwnerChange(change);
      owned.reconcileWithDeployment();
      links.reconcile();
    },
    flush() {
      slots.flush();
      outbox.flush();
    },
    exchangeCounters() {
      owned.tick();
      exchange.exchange();
      links.reconcile();
    },
    getOwned: owned.getAll,
    getLinkCount: links.getCount,
    getOwner: ownership.get,
    getCounters: exchange.getLeaves,
  };
}

function toWireRequest(req: SlotRequest) {
  return { ...req, wants: [...req.wants], held: [...req.held] };
}

function toWireUses({ upstream, uses }: KeptUses) {
  return {
    upstream,
    slots: uses.map((each) => each.slot),
    firstByteMs: uses.map((each) => each.firstByteMs),
    tokenIntervalMs: uses.map((each) => each.tokenIntervalMs),
  };
}

function toUnused(
  grant: { upstream: string; slot: number; team: string },
): Release {
  const { upstream, slot, team } = grant;
  return { upstream, slot, team, cost: 0, firstByteMs: 0, result: "unused" };
}
