/**
 * The upstreams that this host owns, each with its slot owner, its adaptive
 * concurrency limit and its share in the service's counters.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import {
  type CostEstimator,
  createCostEstimator,
  type ServiceCounters,
} from "../fairness/mod.ts";
import { getRegion } from "../placement/mod.ts";
import {
  type AdaptiveLimit,
  createAdaptiveLimit,
} from "../slots/adaptive_limit.ts";
import {
  createSlotOwner,
  type Grant,
  type Recall,
  type Release,
  type SlotOwner,
} from "../slots/mod.ts";
import type { Upstream } from "../types.ts";
import type { FleetHost, OwnedUpstream } from "./types.ts";

/**
 * Time after a takeover in which the new owner grants only half the limit, in
 * ms: another host may not know of the takeover yet and still grant, too. The
 * hosts agree sooner than that; all know a dead host within 3 s.
 */
export const TAKEOVER_MS = 3_000;

/**
 * A team of the other region gets a slot first only when its counter is behind
 * by this many of the largest requests. Without this penalty, every second
 * answer under saturation would cross the billed regional link, although each
 * region could serve its own teams.
 */
export const CROSS_REGION_PENALTY_REQUESTS = 2;

/**
 * Range of the random first slot number, so that successive owners of an
 * upstream use different slot numbers.
 */
const FIRST_SLOT_RANGE = 2 ** 31;

/** Dependencies of the owned upstreams that the fleet provides. */
export interface OwnedUpstreamsHost {
  getLeaf(service: string): ServiceCounters;
  trySendGrant(entryHost: string, grant: Grant): boolean;
  sendRecall(entryHost: string, recall: Recall): void;
}

/** The set of upstreams that this host owns. */
export interface OwnedUpstreams {
  tryGet(upstream: string): SlotOwner | undefined;
  /**
   * Takes ownership. With a previous owner, which may not know of the takeover
   * yet, only half the limit is granted for `TAKEOVER_MS`.
   */
  acquire(upstream: Upstream, mayHavePreviousOwner: boolean): void;
  /** Gives up ownership. */
  drop(upstream: string): void;
  /**
   * Drops upstreams that are no longer declared, and applies changed slot
   * limits.
   */
  reconcileWithDeployment(): void;
  removeHost(entryHost: string): void;
  requestResync(entryHost: string): void;
  /**
   * Grants slots that became free only by the passing of time: after a
   * takeover, or after a pause of a circuit breaker.
   */
  tick(): void;
  getAll(): readonly OwnedUpstream[];
}

interface Owned {
  readonly upstream: Upstream;
  readonly owner: SlotOwner;
  readonly limit: AdaptiveLimit;
  isTakeoverComplete: boolean;
  readonly takeoverEndMs: number;
}

/** Creates the set without upstreams. */
export function createOwnedUpstreams(
  host: FleetHost,
  fleet: OwnedUpstreamsHost,
): OwnedUpstreams {
  const owned = new Map<string, Owned>();
  const estimates = new Map<string, CostEstimator>();
  /** Owned upstreams that a team waits for, by service and team. */
  const waiting = new Map<string, Map<string, Set<string>>>();

  function getCostEstimate(service: string): CostEstimator {
    return getOrCreate(estimates, service, () => {
      const declared = host.getDeployment()?.services
        .find((each) => each.id === service);
      return createCostEstimator(declared?.expectedCost ?? 1);
    });
  }

  function getWeight(team: string): number {
    const teams = host.getDeployment()?.teams ?? [];
    return teams.find((each) => each.id === team)?.weight ?? 1;
  }

  /**
   * Marks whether the team waits for the upstream. A team counts as waiting at
   * this host while it waits for any upstream owned here.
   */
  function setWaiting(
    upstream: Upstream,
    team: string,
    isWaiting: boolean,
  ): void {
    const teams = getOrCreate(waiting, upstream.service, () => new Map());
    const upstreams = getOrCreate(teams, team, () => new Set<string>());
    if (isWaiting) upstreams.add(upstream.id);
    else upstreams.delete(upstream.id);
    fleet.getLeaf(upstream.service).setWaiting(team, upstreams.size > 0);
  }

  /**
   * Charges the expected cost of a starting request. While no other team waits,
   * service takes nothing from other teams and is not charged. Otherwise a team
   * that used idle capacity at night would have to make up for it by day.
   */
  function chargeStart(service: string, team: string): number {
    const leaf = fleet.getLeaf(service);
    if (!leaf.isContended(team)) return 0;
    const cost = getCostEstimate(service).get(team);
    leaf.charge(team, cost / getWeight(team));
    return cost;
  }

  function chargeEnd(service: string, release: Release, charged: number): void {
    const { team, result, cost } = release;
    const leaf = fleet.getLeaf(service);
    const weight = getWeight(team);
    if (result === "answered") {
      getCostEstimate(service).record(team, cost);
      leaf.recordLargest(cost / weight);
    }
    if (charged === 0 && !leaf.isContended(team)) return;
    leaf.charge(team, (cost - charged) / weight);
  }

  function isSameRegion(upstream: Upstream, entryHost: string): boolean {
    const deployment = host.getDeployment();
    const member = host.membership.getMembers()
      .find((each) => each.host === entryHost);
    if (deployment === undefined || member === undefined) return true;
    return getRegion(deployment, member.dataCentre) ===
      getRegion(deployment, upstream.dataCentre);
  }

  function createOwned(
    upstream: Upstream,
    mayHavePreviousOwner: boolean,
  ): Owned {
    const { id, service } = upstream;
    const createLimit = host.policy.createLimit ?? createAdaptiveLimit;
    const limit = createLimit({
      maxSlots: upstream.maxSlots,
      onChange: (value, reason) =>
        host.recorder.record({
          kind: "limit-changed",
          upstream: id,
          limit: value,
          reason,
        }),
    });
    const nowMs = host.clock.monotonicMs();
    const leaf = fleet.getLeaf(service);
    const owner = createSlotOwner(id, {
      nowMs: host.clock.monotonicMs,
      getCounter: leaf.get,
      setWaiting: (team, isWaiting) => setWaiting(upstream, team, isWaiting),
      chargeStart: (team) => chargeStart(service, team),
      chargeEnd: (release, charged) => chargeEnd(service, release, charged),
      getLimit() {
        if (host.isUpstreamLeaving(id)) return 0;
        if (entry.isTakeoverComplete) return limit.get();
        return Math.max(1, Math.floor(limit.get() / 2));
      },
      tryPick: host.policy.tryPick,
      getCrossRegionPenalty: () =>
        CROSS_REGION_PENALTY_REQUESTS * leaf.getLargest(),
      isSameRegion: (entryHost) => isSameRegion(upstream, entryHost),
      trySendGrant(entryHost, grant) {
        host.recorder.record({
          kind: "slot-granted",
          upstream: id,
          team: grant.team,
          to: entryHost,
          counter: leaf.get(grant.team),
        });
        return fleet.trySendGrant(entryHost, grant);
      },
      sendRecall: fleet.sendRecall,
      onRequestStarted: (slot) =>
        limit.observeStart(slot, host.clock.monotonicMs()),
      onRequestEnded({ slot, result, firstByteMs, tokenIntervalMs }) {
        if (result === "unused") {
          limit.observeUnused(slot);
          return;
        }
        const use = { slot, result, firstByteMs, tokenIntervalMs };
        limit.observeEnd(use, host.clock.monotonicMs());
      },
    }, Math.floor(host.random() * FIRST_SLOT_RANGE) + 1);
    const entry: Owned = {
      upstream,
      owner,
      limit,
      isTakeoverComplete: !mayHavePreviousOwner,
      takeoverEndMs: nowMs + TAKEOVER_MS,
    };
    return entry;
  }

  function drop(id: string): void {
    owned.get(id)?.owner.refundAll();
    owned.delete(id);
  }

  return {
    tryGet: (upstream) => owned.get(upstream)?.owner,
    acquire: (upstream, mayHavePreviousOwner) =>
      void owned.set(upstream.id, createOwned(upstream, mayHavePreviousOwner)),
    drop,
    reconcileWithDeployment() {
      const declared = new Map(
        host.getDeployment()?.upstreams.map((each) => [each.id, each]),
      );
      for (const [id, { limit }] of [...owned]) {
        const upstream = declared.get(id);
        // A changed maximum applies at once, not only to the next owner.
        if (upstream !== undefined) limit.setMaxSlots(upstream.maxSlots);
        else drop(id);
      }
    },
    removeHost(entryHost) {
      for (const { owner } of owned.values()) owner.removeHost(entryHost);
    },
    requestResync(entryHost) {
      for (const { owner } of owned.values()) owner.requestResync(entryHost);
    },
    tick() {
      const nowMs = host.clock.monotonicMs();
      for (const entry of owned.values()) {
        if (nowMs >= entry.takeoverEndMs) entry.isTakeoverComplete = true;
        // A circuit breaker whose waiting time is over allows one trial
        // request, and no other event makes the owner grant it.
        entry.limit.tick(nowMs);
        entry.owner.grantFreeSlots();
      }
    },
    getAll: () =>
      [...owned.values()].map(({ upstream, owner, limit }) => ({
        upstream: upstream.id,
        limit: limit.get(),
        inUse: owner.getInUse(),
        waiting: owner.getWaiting(),
      })),
  };
}
