/**
 * A fleet in virtual time, for measurements and tests. Each host runs the real
 * fleet part of the router (slot client, slot owners, counters, queues); frames
 * are delivered in memory after a fixed delay. Upstreams are fakes that
 * generate tokens at a fixed rate. The fixture sets the membership view of each
 * host.
 *
 * The fixture makes no decisions of its own and simulates no other properties
 * of a network: a frame is delayed, or lost by a partition or a broken link.
 *
 * @module
 */

import { fromBinary, toBinary } from "@bufbuild/protobuf";
import * as Effect from "effect/Effect";
import { createHybridClock, getOrCreate } from "../core/mod.ts";
import { type Frame, FrameSchema } from "../generated/peer_pb.ts";
import type { Member } from "../membership/mod.ts";
import type { PeerLinkHost } from "../peers/mod.ts";
import { createFleet, type Fleet, type FleetPolicy } from "../fleet/mod.ts";
import type { SlotHandle } from "../slots/mod.ts";

import { createRouterPolicy } from "./baselines.ts";
import { createVirtualScheduler } from "./virtual_scheduler.ts";
import { createRandom } from "./random.ts";
import { createFakeUpstream } from "./fake_upstream.ts";
import {
  type FixtureCall,
  type FixtureHost,
  type FixtureRequest,
  type FleetFixture,
  type FleetFixtureOptions,
  PACKET_BYTES,
} from "./fleet_fixture_types.ts";

export * from "./fleet_fixture_types.ts";

/** Time until a broken link is dialed again. */
const REDIAL_MS = 200;

/** Caches owners: hosts with the same view pick the same owner. */
function memoizeOwners(policy: FleetPolicy): FleetPolicy {
  const owners = new Map<string, string | undefined>();
  return {
    ...policy,
    tryGetOwner(key, candidates) {
      const full = `${key}\n${candidates.join()}`;
      if (!owners.has(full)) {
        owners.set(full, policy.tryGetOwner(key, candidates));
      }
      return owners.get(full);
    },
  };
}

interface View {
  readonly all: readonly Member[];
  readonly usable: readonly Member[];
}

/** Creates a fleet in which every host knows all others from the start. */
export function createFleetFixture(options: FleetFixtureOptions): FleetFixture {
  const { deployment } = options;
  const scheduler = createVirtualScheduler();
  const random = createRandom(options.seed ?? 1);
  const queued = new Map<string, FixtureRequest[]>();
  const hostService = new Map<string, number>();
  const createPolicy = options.createPolicy ?? createRouterPolicy;
  const policy = memoizeOwners(createPolicy({
    tryGetOldestMs: (host, team) =>
      queued.get(`${host}/${team}`)?.[0]?.arrivedMs,
    getHostService: (host, team) => hostService.get(`${host}/${team}`) ?? 0,
  }));
  const regionByDataCentre = new Map(
    deployment.dataCentres.map((each) => [each.id, each.region]),
  );
  const members = new Map<string, Member>();
  const processes = new Map<string, HostProcess>();
  const requests: FixtureRequest[] = [];
  const sentBytes = new Map<string, number>();
  const byKind = new Map<string, number>();
  const totals = { bytes: 0, frames: 0, crossRegionBytes: 0 };
  /**
   * Hosts whose links are all broken, and how often each host's links broke.
   */
  const disconnected = new Set<string>();
  const breakCounts = new Map<string, number>();
  /** Callbacks that run when the paused host goes on, by host. */
  const paused = new Map<string, (() => void)[]>();
  /**
   * Cached views, cleared by each change: by region during a partition, else
   * one for all hosts under the empty key.
   */
  const views = new Map<string, View>();
  let isPartitioned = false;
  let lastRequest = 0;

  interface HostProcess {
    readonly fleet: Fleet;
    readonly incarnation: number;
    /** Links that this host dialed, by the id of the peer. */
    readonly dialed: Map<string, PeerLinkHost>;
    isUp: boolean;
  }

  const upstreams = new Map(
    deployment.upstreams.map((each) => [
      each.id,
      createFakeUpstream(each.id, { ...options, scheduler }),
    ]),
  );

  function getRegionOf(host: string): string {
    return regionByDataCentre.get(members.get(host)!.dataCentre) ?? "";
  }

  function isInOtherRegion(a: string, b: string): boolean {
    return getRegionOf(a) !== getRegionOf(b);
  }

  function canReach(from: string, to: string): boolean {
    if (
      processes.get(to)?.isUp !== true || processes.get(from)?.isUp !== true
    ) {
      return false;
    }
    if (disconnected.has(from) || disconnected.has(to)) return false;
    return !(isPartitioned && isInOtherRegion(from, to));
  }

  function countBytes(from: string, to: string, bytes: number): void {
    totals.frames++;
    totals.bytes += bytes;
    if (isInOtherRegion(from, to)) totals.crossRegionBytes += bytes;
    sentBytes.set(from, (sentBytes.get(from) ?? 0) + bytes);
  }

  /**
   * Delivers the frame, unless its link breaks before it arrives or the hosts
   * can't reach each other on its arrival.
   */
  function deliver(
    from: string,
    to: string,
    delivery: { frame: Frame; receive: (frame: Frame) => void },
  ): void {
    const bytes = toBinary(FrameSchema, delivery.frame);
    countBytes(from, to, bytes.length + PACKET_BYTES);
    const target = processes.get(to);
    const countBreaks = () =>
      (breakCounts.get(from) ?? 0) + (breakCounts.get(to) ?? 0);
    const breaksBefore = countBreaks();
    const delayMs = isInOtherRegion(from, to)
      ? options.crossRegionDelayMs
      : options.sameRegionDelayMs;
    scheduler.after(delayMs, () => {
      if (!canReach(from, to) || processes.get(to) !== target) return;
      if (countBreaks() !== breaksBefore) return;
      delivery.receive(fromBinary(FrameSchema, bytes));
    });
  }

  function createLink(from: string, to: string, linkHost: PeerLinkHost) {
    processes.get(from)?.dialed.set(to, linkHost);
    let isOpen = false;
    scheduler.after(
      isInOtherRegion(from, to)
        ? options.crossRegionDelayMs * 2
        : options.sameRegionDelayMs * 2,
      () => {
        isOpen = true;
        if (canReach(from, to)) linkHost.onOpen();
      },
    );
    return {
      send(frame: Frame) {
        if (!isOpen || !canReach(from, to)) return;
        deliver(from, to, {
          frame,
          receive: (each) => processes.get(to)?.fleet.receiveFrame(from, each),
        });
      },
      isOpen: () => isOpen && canReach(from, to),
      run: Effect.void as unknown as Effect.Effect<never>,
    };
  }

  function trySendBack(from: string, to: string, frame: Frame): boolean {
    const dialer = processes.get(to)?.dialed.get(from);
    if (dialer === undefined || !canReach(from, to)) return false;
    deliver(from, to, { frame, receive: (each) => dialer.onFrame(each) });
    return true;
  }

  /** Members as the host sees them; those in a partitioned region are dead. */
  function getView(host: string): View {
    return getOrCreate(views, isPartitioned ? getRegionOf(host) : "", () => {
      const all = [...members.values()].map((member) =>
        isPartitioned && isInOtherRegion(host, member.host)
          ? { ...member, state: "dead" as const }
          : member
      );
      return { all, usable: all.filter((each) => each.state !== "dead") };
    });
  }

  function startHost(id: string, dataCentre: string): void {
    const incarnation = (processes.get(id)?.incarnation ?? 0) + 1;
    const { clock } = scheduler;
    const fleet = createFleet({
      id,
      incarnation,
      dataCentre,
      fleetToken: "",
      clock,
      hybridClock: createHybridClock(clock),
      recorder: { record() {}, getSince: () => [] },
      membership: {
        getMembers: () => getView(id).all,
        getUsable: () => getView(id).usable,
      },
      getDeployment: () => deployment,
      isUpstreamLeaving: () => false,
      policy,
      random,
      createLink: (address, linkHost) => createLink(id, address, linkHost),
      defer: (run) => scheduler.after(0, run),
      isDialedBy: (peer) =>
        processes.get(peer)?.dialed.has(id) === true && canReach(id, peer),
      trySendBack: (peer, frame) => trySendBack(id, peer, frame),
      onPeerLost() {},
      onControlSent: (kind, bytes) =>
        void byKind.set(kind, (byKind.get(kind) ?? 0) + bytes),
    });
    const host: HostProcess = {
      fleet,
      incarnation,
      dialed: new Map(),
      isUp: true,
    };
    processes.set(id, host);
    const whileUp = (run: () => void) => () => {
      if (host.isUp && processes.get(id) === host && !paused.has(id)) run();
    };
    scheduler.every(options.flushMs, whileUp(fleet.flush));
    scheduler.every(options.exchangeMs, whileUp(fleet.exchangeCounters));
  }

  function setMember(id: string, state: Member["state"]): void {
    views.clear();
    members.set(id, {
      ...members.get(id)!,
      state,
      incarnation: processes.get(id)?.incarnation ?? 1,
    });
  }

  function reconcileAll(): void {
    views.clear();
    for (const host of processes.values()) {
      if (host.isUp) host.fleet.reconcile();
    }
  }

  function breakLinks(id: string): void {
    disconnected.add(id);
    breakCounts.set(id, (breakCounts.get(id) ?? 0) + 1);
  }

  /** Reconnects each link of the host, whichever end dialed it. */
  function reopenLinks(id: string): void {
    disconnected.delete(id);
    for (const [from, host] of processes) {
      for (const [to, linkHost] of host.dialed) {
        const isOfHost = from === id || to === id;
        if (isOfHost && canReach(from, to)) linkHost.onOpen();
      }
    }
  }

  /** Runs the callback now, or when the paused host goes on. */
  function runWhenResumed(id: string, run: () => void): void {
    const deferred = paused.get(id);
    if (deferred === undefined) run();
    else deferred.push(run);
  }

  function submit(host: string, call: FixtureCall): FixtureRequest {
    const nowMs = scheduler.clock.monotonicMs();
    const service = deployment.services.find((each) =>
      each.id === call.service
    )!;
    const timeoutMs = call.timeoutMs ?? service.maxDeadlineMs;
    const req: FixtureRequest = {
      id: `r${lastRequest++}`,
      team: call.team,
      service: call.service,
      operation: "",
      arrivedMs: nowMs,
      deadlineMs: nowMs + timeoutMs,
      expectedCost: call.costHint ?? service.expectedCost,
      fingerprint: "",
      host,
      cost: call.cost,
      state: "waiting",
    };
    requests.push(req);
    getOrCreate(queued, `${host}/${req.team}`, () => []).push(req);
    const entry = processes.get(host)!;
    entry.fleet.slots.acquire(req, (slot) => start(entry, req, { slot, call }));
    scheduler.after(timeoutMs, () => {
      if (req.state !== "waiting" || !entry.isUp) return;
      entry.fleet.slots.cancel(req);
      removeFromQueue(req);
      end(req, "cancelled", call);
    });
    return req;
  }

  function removeFromQueue(req: FixtureRequest): void {
    const waiting = queued.get(`${req.host}/${req.team}`)!;
    waiting.splice(waiting.indexOf(req), 1);
  }

  function getWeight(team: string): number {
    return deployment.teams.find((each) => each.id === team)!.weight;
  }

  function start(
    entry: HostProcess,
    req: FixtureRequest,
    { slot, call }: { slot: SlotHandle; call: FixtureCall },
  ): void {
    removeFromQueue(req);
    const key = `${req.host}/${req.team}`;
    const share = req.cost / getWeight(req.team);
    hostService.set(key, (hostService.get(key) ?? 0) + share);
    req.state = "running";
    req.startedMs = scheduler.clock.monotonicMs();
    req.upstream = slot.upstream.id;
    call.onStart?.(req);
    upstreams.get(slot.upstream.id)!.serve(req, (result, firstByteMs) => {
      runWhenResumed(req.host, () => {
        if (!entry.isUp) return;
        end(req, result, call);
        const cost = result === "answered" ? req.cost : 0;
        slot.release({ cost, firstByteMs, result });
      });
    });
  }

  function end(
    req: FixtureRequest,
    state: FixtureRequest["state"],
    call: FixtureCall,
  ): void {
    req.state = state;
    req.endedMs = scheduler.clock.monotonicMs();
    call.onEnd?.(req);
  }

  const hostPlacements = Array.from({ length: options.hosts }, (_, index) => {
    const at = index % deployment.dataCentres.length;
    const dataCentre = deployment.dataCentres[at]!.id;
    const id = `entry-${index + 1}`;
    members.set(id, {
      host: id,
      incarnation: 1,
      revision: 1,
      state: "alive",
      dataCentre,
      peerAddress: id,
      publicAddress: "",
    });
    return { id, dataCentre };
  });
  for (const each of hostPlacements) startHost(each.id, each.dataCentre);
  reconcileAll();

  const hosts = hostPlacements.map(({ id, dataCentre }): FixtureHost => ({
    id,
    dataCentre,
    get fleet() {
      return processes.get(id)!.fleet;
    },
    submit: (call) => submit(id, call),
    isUp: () => processes.get(id)!.isUp && !paused.has(id),
  }));

  return {
    scheduler,
    deployment,
    hosts,
    getHost: (id) => hosts.find((each) => each.id === id)!,
    getUpstream: (id) => upstreams.get(id)!,
    getRequests: () => requests,
    getService(service) {
      const sums = new Map<string, number>();
      for (const each of deployment.upstreams) {
        if (each.service !== service) continue;
        upstreams.get(each.id)!.addService(sums);
      }
      return sums;
    },
    getControlTraffic: () => ({ ...totals, byKind }),
    getSentBytes: (host) => sentBytes.get(host) ?? 0,
    setPartitioned(value) {
      isPartitioned = value;
      reconcileAll();
    },
    kill(id, detectionMs) {
      processes.get(id)!.isUp = false;
      scheduler.after(detectionMs, () => {
        if (processes.get(id)!.isUp) return;
        setMember(id, "dead");
        reconcileAll();
      });
    },
    restart(id, detectionMs) {
      startHost(id, members.get(id)!.dataCentre);
      processes.get(id)!.fleet.reconcile();
      scheduler.after(REDIAL_MS, () => reopenLinks(id));
      scheduler.after(detectionMs, () => {
        setMember(id, "alive");
        reconcileAll();
      });
    },
    breakLinks(id) {
      breakLinks(id);
      scheduler.after(REDIAL_MS, () => {
        if (!paused.has(id)) reopenLinks(id);
      });
    },
    pause(id, { forMs, detectionMs }) {
      paused.set(id, []);
      breakLinks(id);
      scheduler.after(detectionMs, () => {
        if (!paused.has(id)) return;
        setMember(id, "dead");
        reconcileAll();
      });
      scheduler.after(forMs, () => {
        const deferred = paused.get(id)!;
        paused.delete(id);
        for (const run of deferred) run();
        reopenLinks(id);
        setMember(id, "alive");
        reconcileAll();
      });
    },
  };
}
