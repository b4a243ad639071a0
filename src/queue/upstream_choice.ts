/**
 * Chooses the upstream at which a waiting prompt starts, or for which it asks
 * the owners of upstreams.
 *
 * Load: prompts with long shared prefixes and prompts that any upstream serves
 * as well, while upstreams are busy. Harm prevented: a prompt that leaves the
 * upstreams with its prefix for one where the prefix delays all other answers.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import {
  getLeastBusy,
  getPreferred,
  MAX_SIMILAR,
} from "./preferred_upstreams.ts";
import { createRoomDraws } from "./room_draws.ts";
import { getRoomShare, hasRoom, type RoomRequest } from "./room.ts";
import type {
  PromptGrants,
  PromptQueueHost,
  PromptQueueOptions,
  RankedUpstream,
  RoomLimit,
  UpstreamLoad,
  WaitingPrompt,
  YieldLevel,
} from "./types.ts";

/**
 * Number of upstreams among which the least busy gets a prompt with a short
 * shared prefix; if none has room, the next group is tried. Of two upstreams
 * one usually has little load. Each further upstream caches a copy of the short
 * prefixes, which together evict longer ones.
 */
const SIMILAR_GROUP_SIZE = 2;

/** Share of its slots that an upstream may have in use when it gets a copy. */
const MAX_COPY_SLOT_SHARE = 0.3;

/** A waiting prompt with its priority in the present pass. */
export interface PrioritisedPrompt {
  readonly prompt: WaitingPrompt;
  readonly yields: YieldLevel;
  /** Whether its team is over its share or overserved, and so goes last. */
  readonly isDeprioritised: boolean;
  /**
   * Recent service of its team if the team goes last, else 0: of such teams the
   * one that had less goes first.
   */
  readonly serviceLevel: number;
}

/** Chooses upstreams by their loads and limits in the present pass. */
export interface UpstreamChoice {
  /** Forgets the loads and limits of the pass before. */
  beginPass(): void;
  /** Forgets the load of an upstream, to which more was sent. */
  forgetLoad(upstream: string): void;
  getLoad(upstream: string): UpstreamLoad;
  /** The upstream at which the prompt starts now; `undefined` if it waits. */
  tryChoose(
    next: PrioritisedPrompt,
    nowMs: number,
  ): RankedUpstream | undefined;
  /** Whether the prompt leaves room to those of underserved teams. */
  isYielding(
    prompt: Pick<PrioritisedPrompt, "prompt" | "isDeprioritised">,
  ): boolean;
  /** Whether this host may start a prompt there by itself. */
  mayStartWithoutGrant(
    grants: PromptGrants | undefined,
    upstream: RankedUpstream,
  ): boolean;
  /** The upstreams to ask grants of, the preferred one first. */
  getAskable(
    grants: PromptGrants,
    upstreams: readonly RankedUpstream[],
  ): readonly RankedUpstream[];
  /** An idle upstream to ask a grant of, for a prompt that has waited long. */
  tryGetIdleToAsk(
    grants: PromptGrants,
    next: PrioritisedPrompt,
  ): RankedUpstream | undefined;
}

/** Creates the choice of a queue. */
export function createUpstreamChoice(
  host: PromptQueueHost,
  options: PromptQueueOptions,
): UpstreamChoice {
  /**
   * Loads of the upstreams in the present pass. Each is computed once, not for
   * every prompt.
   */
  const loadCache = new Map<string, UpstreamLoad>();
  /** Limits of the upstreams in the present pass, by upstream and target. */
  const limitCache = new Map<string, Map<number, number>>();
  const limits = [
    options.limit,
    options.inefficientLimit,
    options.overShareLimit,
  ] as const;

  const draws = createRoomDraws(host);

  const getLoad = (upstream: string) =>
    getOrCreate(loadCache, upstream, () => host.getLoad(upstream));

  function getLimitTokens(prompt: WaitingPrompt, upstream: string): number {
    const { service, targetMs } = prompt;
    const byTarget = getOrCreate(limitCache, upstream, () => new Map());
    return getOrCreate(
      byTarget,
      targetMs,
      () => host.getLimitTokens(service, upstream, targetMs),
    );
  }

  function tryChoose(
    next: PrioritisedPrompt,
    nowMs: number,
  ): RankedUpstream | undefined {
    const { prompt, yields } = next;
    const grants = tryGetGrants(host);
    const limit = host.isUnderserved(prompt.team)
      ? extendLimit(limits[yields], options.underservedFactors)
      : limits[yields];
    const yieldsToUnderserved = isYielding(next);
    function fitsUpstream(each: RankedUpstream) {
      if (!mayStartWithoutGrant(grants, each)) return false;
      const { upstream, readingTokens } = each;
      const load = getLoad(upstream);
      const limitTokens = getLimitTokens(prompt, upstream);
      const maxCountedTokens = limitTokens * options.maxCountedShare;
      const request: RoomRequest = {
        readingTokens: Math.min(readingTokens, maxCountedTokens),
        maxCountedTokens,
        slotShare: limit.slotShare,
        limitTokens: limitTokens * limit.prefillShare,
        fullLimitTokens: limitTokens,
        yieldsToUnderserved,
      };
      if (!hasRoom(load, request)) return false;
      return !yieldsToUnderserved ||
        draws.isDrawn(upstream, getRoomShare(load, request));
    }
    const upstreams = prompt.getUpstreams();
    const [first] = upstreams;
    if (first === undefined) return undefined;
    const preferred = getPreferred(upstreams, options.negligibleTokens);
    // Balanced over its holders, a prefix would stay in use at all of them.
    const groupSize = first.prefix === undefined ? SIMILAR_GROUP_SIZE : 1;
    for (let at = 0; at < preferred.length; at += groupSize) {
      const withRoom = preferred.slice(at, at + groupSize).filter(
        fitsUpstream,
      );
      if (withRoom.length > 0) return getLeastBusy(withRoom, getLoad);
    }
    const copy = upstreams.slice(0, MAX_SIMILAR).find((each) =>
      each.fetch?.reason === "copy" && hasCapacityForCopy(each) &&
      fitsUpstream(each)
    );
    if (copy !== undefined) return copy;
    const waitedMs = nowMs - prompt.arrivedMs;
    if (waitedMs < prompt.targetMs * options.spilloverShare) return undefined;
    return upstreams.find((each) =>
      isIdle(each) && !preferred.includes(each) &&
      mayStartWithoutGrant(grants, each) &&
      !(grants !== undefined && yieldsToUnderserved && isAwaited(each))
    );
  }

  function isYielding(
    { prompt, isDeprioritised }: Pick<
      PrioritisedPrompt,
      "prompt" | "isDeprioritised"
    >,
  ): boolean {
    return options.yieldsToUnderserved && isDeprioritised &&
      !host.isUnderserved(prompt.team);
  }

  /** Whether a prompt of an underserved team waits for it at another host. */
  function isAwaited({ upstream }: RankedUpstream): boolean {
    return getLoad(upstream).underservedElsewhere > 0;
  }

  function mayStartWithoutGrant(
    grants: PromptGrants | undefined,
    each: RankedUpstream,
  ): boolean {
    return grants === undefined || !needsGrant(grants, each);
  }

  /** Whether the prompt starts there only with a grant of the owner. */
  function needsGrant(
    grants: PromptGrants,
    { upstream, readingTokens }: RankedUpstream,
  ): boolean {
    return readingTokens > options.negligibleTokens &&
      grants.needsGrant(upstream);
  }

  /** Returns the upstreams to ask for, the preferred one first. */
  function getAskable(
    grants: PromptGrants,
    upstreams: readonly RankedUpstream[],
  ): readonly RankedUpstream[] {
    const preferred = getPreferred(upstreams, options.negligibleTokens);
    const copies = upstreams.slice(0, MAX_SIMILAR).filter((each) =>
      each.fetch?.reason === "copy" && !preferred.includes(each) &&
      hasCapacityForCopy(each)
    );
    const askable = [...preferred, ...copies].filter((each) =>
      needsGrant(grants, each) && !getLoad(each.upstream).isWarmUpSpent
    );
    const [first, second] = askable;
    const isSecondLessBusy = first?.prefix === undefined &&
      second !== undefined &&
      getLeastBusy([first!, second], getLoad) === second;
    return isSecondLessBusy ? [second, first!, ...askable.slice(2)] : askable;
  }

  function tryGetIdleToAsk(
    grants: PromptGrants,
    next: PrioritisedPrompt,
  ): RankedUpstream | undefined {
    const upstreams = next.prompt.getUpstreams();
    const preferred = getPreferred(upstreams, options.negligibleTokens);
    const yieldsToUnderserved = isYielding(next);
    return upstreams.find((each) =>
      isIdle(each) && !preferred.includes(each) && needsGrant(grants, each) &&
      !(yieldsToUnderserved && isAwaited(each))
    );
  }

  /**
   * Whether the upstream has capacity to spare. While all are busy, a copy only
   * moves the load of the first to upstreams that answer other prompts in time.
   */
  function hasCapacityForCopy({ upstream }: RankedUpstream): boolean {
    const { inFlight, readingTokens, slots } = getLoad(upstream);
    return readingTokens <= 0 && inFlight <= slots * MAX_COPY_SLOT_SHARE;
  }

  /**
   * Whether the upstream has no work, so that prefilling a shared prefix there
   * again delays no other request.
   */
  function isIdle({ upstream }: RankedUpstream): boolean {
    const { inFlight, readingTokens, isWarmUpSpent } = getLoad(upstream);
    return readingTokens <= 0 && inFlight <= 0 && !isWarmUpSpent;
  }

  return {
    beginPass() {
      loadCache.clear();
      limitCache.clear();
    },
    forgetLoad: (upstream) => void loadCache.delete(upstream),
    getLoad,
    isYielding,
    mayStartWithoutGrant,
    tryChoose,
    getAskable,
    tryGetIdleToAsk,
  };
}

/** Multiplies the limits of room by the factors. */
function extendLimit(limit: RoomLimit, factors: RoomLimit): RoomLimit {
  return {
    slotShare: limit.slotShare * factors.slotShare,
    prefillShare: limit.prefillShare * factors.prefillShare,
  };
}

/** The grants, if the fleet is of a size at which owners admit prompts. */
export function tryGetGrants(
  { grants }: Pick<PromptQueueHost, "grants">,
): PromptGrants | undefined {
  return grants?.isEnabled() ? grants : undefined;
}
