/**
 * Decides which waiting prompt is sent next and to which upstream, and which
 * prompts are refused.
 *
 * Load: more prompts than the upstreams can prefill in time, from teams of
 * which some send seven times their share. Harm prevented:
 * - Prompts that an upstream prefills at the same time delay each other and
 *   every answer that it generates meanwhile, and a request that waits inside
 *   an upstream can neither be refused nor be put in a fair order. All hosts
 *   together therefore give an upstream a limited number of tokens to prefill,
 *   learned at run time (`pacing/`), and requests for no more than a share of
 *   its slots. All other prompts wait here.
 * - A team that sends far more than its share would delay all others. Teams
 *   over their share therefore go last and leave a part of each upstream free.
 * - Where one prompt uses up the prefill limit of an upstream, hosts take turns
 *   at it rather than teams, and the team with the fewest hosts gets the least.
 *   A team over its share, or overserved while capacity is short, therefore
 *   starts no prompt that would fill an upstream for which an underserved
 *   team's prompt waits.
 * - Operators may state more capacity than the upstreams have. No team exceeds
 *   its share of that, so overserved teams go last as well. They may use all
 *   room for which no other team's prompt waits.
 * - A prompt that has waited too long takes the place of one that could still
 *   meet its target. The newest therefore go first, and a prompt is refused as
 *   soon as it is too late, with the time after which to retry.
 * - After a long event-loop iteration many waiting prompts are late. Late
 *   prompts are therefore refused before any prompt starts, and no prompt
 *   starts for a caller that has disconnected.
 * - An upstream that has just started gets few requests until it is warm. Those
 *   for which none is due from this host yet wait, or go to the next one.
 * - A stream that has begun may go on at a part of the upstreams only, and a
 *   refusal wastes the events that its caller has. Of prompts that yield alike,
 *   such ones therefore go first.
 * - Prefilling a shared prefix at a second upstream takes prefill time from all
 *   other prompts there. A prompt therefore leaves the upstreams chosen by its
 *   prefix only for an idle one.
 * - Prompts with a hot prefix wait for one upstream while others have room. Where
 *   upstreams can fetch the prefix from each other, further ones therefore get
 *   the prompts for which those that hold it have no room.
 * - Load reports of a large fleet are older than a prefill takes. There, a prompt
 *   with more than a few tokens to prefill waits for a grant of the upstream's
 *   owner (`grants/`) instead of room, unless the owner does not answer.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import type { QueueInputs } from "../diagnostics/mod.ts";
import { NEGLIGIBLE_PREFILL_TOKENS } from "../placement/mod.ts";
import { createPromptBacklogTracker, isTooLong } from "./backlog.ts";
import {
  getLeastBusy,
  getPreferred,
  MAX_SIMILAR,
} from "./preferred_upstreams.ts";
import { hasRoom } from "./room.ts";
import type {
  NewPrompt,
  PromptGrants,
  PromptQueue,
  PromptQueueHost,
  PromptQueueOptions,
  PromptRefusal,
  RankedUpstream,
  UpstreamLoad,
  WaitingPrompt,
  YieldLevel,
} from "./types.ts";

/**
 * Sorts the newest prompts first. Under overload the oldest will miss their
 * targets in any case; served first, they would make all later prompts late as
 * well.
 */
export function compareNewestFirst(a: WaitingPrompt, b: WaitingPrompt): number {
  return b.arrivedMs - a.arrivedMs;
}

/**
 * The default policy:
 * - `limit`: some slots stay free. With more requests in flight each answer
 *   takes longer, and hosts start prompts for a tenth of a second before they
 *   learn of each other's requests.
 * - `inefficientLimit`, `overShareLimit`: prompts that yield (inefficient ones,
 *   and those of teams over their share) leave a quarter of the slots, and half
 *   of the prefill limit, to the others. If they could not prefill beside
 *   others at all, short prompts of teams over their share would starve.
 * - `negligibleTokens`: a prompt with a short shared prefix goes to the less
 *   busy of two upstreams, or of the next two.
 * - `maxCountedShare`: counted in full, prompts larger than the limit would
 *   start only at an upstream that prefills nothing, which is rare under load.
 *   Counted for less than three quarters of the limit, they displace too many
 *   others.
 * - `spilloverShare`: a prompt goes to another upstream only shortly before it
 *   would be refused, and only to an idle one. Prefilling its shared prefix
 *   again at a busy upstream delays every answer there.
 * - `maxWaitShare`: the rest of the target time is left for the prefill.
 * - `retryAfterMs`: with waits this short, the queue has been replaced after a
 *   second.
 */
export const defaultPromptQueueOptions: PromptQueueOptions = {
  limit: { slotShare: 0.6, prefillShare: 1 },
  inefficientLimit: { slotShare: 0.45, prefillShare: 0.5 },
  overShareLimit: { slotShare: 0.45, prefillShare: 0.5 },
  negligibleTokens: NEGLIGIBLE_PREFILL_TOKENS,
  maxCountedShare: 0.75,
  spilloverShare: 0.55,
  maxWaitShare: 0.6,
  retryAfterMs: 1_000,
  refusesEarly: true,
  yieldsToUnderserved: true,
  compare: compareNewestFirst,
};

/**
 * A prompt whose efficiency is below this share of the mean is inefficient.
 * Prompts of one kind differ only by the lengths of their answers, but kinds of
 * prompts differ by a factor of ten.
 */
const INEFFICIENT_SHARE = 1 / 3;

/**
 * Number of upstreams among which the least busy gets a prompt with a short
 * shared prefix; if none has room, the next group is tried. Of two upstreams
 * one usually has little load. Each further upstream caches a copy of the short
 * prefixes, which together evict longer ones.
 */
const SIMILAR_GROUP_SIZE = 2;

/** Share of its slots that an upstream may have in use when it gets a copy. */
const MAX_COPY_SLOT_SHARE = 0.3;

/**
 * Retry times are spread over this share of their mean. Callers that were
 * refused together would otherwise return together as another burst.
 */
const RETRY_SPREAD = 0.5;

/** A waiting prompt with its priority in the present pass. */
interface PrioritisedPrompt {
  readonly prompt: WaitingPrompt;
  readonly yields: YieldLevel;
  /** Whether its team is over its share or overserved, and so goes last. */
  readonly isDeprioritised: boolean;
}

/** Creates an empty queue. */
export function createPromptQueue(
  host: PromptQueueHost,
  options: PromptQueueOptions = defaultPromptQueueOptions,
): PromptQueue {
  const waiting = new Set<WaitingPrompt>();
  const backlogTracker = createPromptBacklogTracker(host.nowMs);
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

  const getLoad = (upstream: string) =>
    getOrCreate(loadCache, upstream, () => host.getLoad(upstream));

  function tryGetGrants(): PromptGrants | undefined {
    return host.grants?.isEnabled() ? host.grants : undefined;
  }

  function getLimitTokens(prompt: WaitingPrompt, upstream: string): number {
    const { service, targetMs } = prompt;
    const byTarget = getOrCreate(limitCache, upstream, () => new Map());
    return getOrCreate(
      byTarget,
      targetMs,
      () => host.getLimitTokens(service, upstream, targetMs),
    );
  }

  function tryChooseUpstream(
    { prompt, yields, isDeprioritised }: PrioritisedPrompt,
    nowMs: number,
  ): RankedUpstream | undefined {
    const grants = tryGetGrants();
    const limit = limits[yields];
    const yieldsToUnderserved = isYielding(prompt, isDeprioritised);
    /** Whether this host may decide by itself. */
    const mayStartWithoutGrant = (each: RankedUpstream) =>
      grants === undefined || !needsGrant(grants, each);
    function fitsUpstream(each: RankedUpstream) {
      if (!mayStartWithoutGrant(each)) return false;
      const { upstream, readingTokens } = each;
      const limitTokens = getLimitTokens(prompt, upstream);
      const maxCountedTokens = limitTokens * options.maxCountedShare;
      return hasRoom(getLoad(upstream), {
        readingTokens: Math.min(readingTokens, maxCountedTokens),
        slotShare: limit.slotShare,
        limitTokens: limitTokens * limit.prefillShare,
        fullLimitTokens: limitTokens,
        yieldsToUnderserved,
      });
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
      isIdle(each) && !preferred.includes(each) && mayStartWithoutGrant(each) &&
      !(grants !== undefined && yieldsToUnderserved && isAwaited(each))
    );
  }

  /** Whether the prompt leaves room to those of underserved teams. */
  function isYielding(
    prompt: WaitingPrompt,
    isDeprioritised: boolean,
  ): boolean {
    return options.yieldsToUnderserved && isDeprioritised &&
      !host.isUnderserved(prompt.team);
  }

  /** Whether a prompt of an underserved team waits for it at another host. */
  function isAwaited({ upstream }: RankedUpstream): boolean {
    return getLoad(upstream).underservedElsewhere > 0;
  }

  /** Whether the prompt starts there only with a grant of the owner. */
  function needsGrant(
    grants: PromptGrants,
    { upstream, readingTokens }: RankedUpstream,
  ): boolean {
    return readingTokens > options.negligibleTokens &&
      grants.needsGrant(upstream);
  }

  /** Asks for grants to start a prompt for which there is no free room. */
  function askForGrants(
    grants: PromptGrants,
    { prompt, yields, isDeprioritised }: PrioritisedPrompt,
  ): void {
    const maxWaitMs = prompt.targetMs * options.maxWaitShare;
    const terms = { yields, isDeprioritised, maxWaitMs };
    if (grants.isRequestDue(prompt)) {
      grants.ask(prompt, getAskable(grants, prompt.getUpstreams()), terms);
    }
    const waitedMs = host.nowMs() - prompt.arrivedMs;
    if (waitedMs < prompt.targetMs * options.spilloverShare) return;
    if (grants.hasRequestedIdle(prompt)) return;
    const upstreams = prompt.getUpstreams();
    const preferred = getPreferred(upstreams, options.negligibleTokens);
    const yieldsToUnderserved = isYielding(prompt, isDeprioritised);
    const idle = upstreams.find((each) =>
      isIdle(each) && !preferred.includes(each) && needsGrant(grants, each) &&
      !(yieldsToUnderserved && isAwaited(each))
    );
    if (idle !== undefined) grants.requestIdle(prompt, idle, terms);
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

  /** Removes a prompt; false when it was no longer in the queue. */
  function removeWaiting(
    prompt: WaitingPrompt,
    end: "started" | "refused" | "left",
  ): boolean {
    if (!waiting.delete(prompt)) return false;
    host.grants?.end(prompt, end === "refused" ? "expired" : "cancelled");
    backlogTracker.recordRemoved(prompt, end === "started");
    return true;
  }

  function start(
    prompt: WaitingPrompt,
    chosen: RankedUpstream,
    grantMs?: number,
  ): void {
    removeWaiting(prompt, "started");
    const { upstream, readingTokens, fetch, prefix } = chosen;
    const queuedTokens = getLoad(upstream).readingTokens + readingTokens;
    host.onStart(prompt, upstream, readingTokens);
    loadCache.delete(upstream);
    if (grantMs === undefined) {
      tryGetGrants()?.recordStart(prompt, upstream, readingTokens);
    }
    const tokens = { readingTokens, queuedTokens, fetch, prefix };
    prompt.start(
      upstream,
      grantMs === undefined ? tokens : { ...tokens, grantMs },
    );
  }

  function startGranted(
    prompt: WaitingPrompt,
    upstream: string,
    grantMs: number,
  ): boolean {
    const isStartable = waiting.has(prompt) && prompt.isCallerConnected() &&
      !isLate(prompt, host.nowMs());
    if (!isStartable) return false;
    const chosen = prompt.getUpstreams().find((each) =>
      each.upstream === upstream
    );
    // The load as of the last pass does not include what has started since.
    loadCache.delete(upstream);
    if (chosen === undefined || getLoad(upstream).isWarmUpSpent) return false;
    start(prompt, chosen, grantMs);
    return true;
  }

  function isLate(prompt: WaitingPrompt, nowMs: number): boolean {
    const maxWaitMs = prompt.targetMs * options.maxWaitShare;
    return nowMs - prompt.arrivedMs >= maxWaitMs;
  }

  /**
   * Returns 0 for a prompt that yields to no others, 1 for an inefficient
   * prompt, which yields to those of level 0, and 2 for a prompt of a team over
   * its share, which yields to all others.
   */
  function getYieldLevel(prompt: WaitingPrompt): YieldLevel {
    if (host.getShareUsed(prompt.team) > 1) return 2;
    return isInefficient(prompt, host.getMeanEfficiency()) ? 1 : 0;
  }

  function prioritise(prompt: WaitingPrompt): PrioritisedPrompt {
    const yields = getYieldLevel(prompt);
    const isDeprioritised = yields === 2 || host.isOverserved(prompt.team);
    return { prompt, yields, isDeprioritised };
  }

  /** Sorts the waiting prompts by priority, the highest first. */
  function getInPriorityOrder(): readonly PrioritisedPrompt[] {
    return [...waiting].map(prioritise).sort((a, b) =>
      Number(a.isDeprioritised) - Number(b.isDeprioritised) ||
      a.yields - b.yields ||
      Number(b.prompt.isBegun) - Number(a.prompt.isBegun) ||
      options.compare(a.prompt, b.prompt)
    );
  }

  function startWaiting(): void {
    const nowMs = host.nowMs();
    const grants = tryGetGrants();
    loadCache.clear();
    limitCache.clear();
    for (const next of getInPriorityOrder()) {
      if (!next.prompt.isCallerConnected()) continue;
      const chosen = tryChooseUpstream(next, nowMs);
      if (chosen !== undefined) start(next.prompt, chosen);
      else if (grants !== undefined) askForGrants(grants, next);
    }
  }

  /**
   * Reports the waiting prompts of underserved teams, for which overserved
   * teams at other hosts leave room.
   */
  function reportUnderserved(): void {
    const prompts = new Map<string, number>();
    for (const prompt of waiting) {
      const first = prompt.getUpstreams()[0]?.upstream;
      if (first === undefined || !host.isUnderserved(prompt.team)) continue;
      prompts.set(first, (prompts.get(first) ?? 0) + 1);
    }
    host.onUnderservedWaiting(prompts);
  }

  function getRefusalInputs(prompt: WaitingPrompt): QueueInputs {
    const upstream = prompt.getUpstreams()[0]?.upstream;
    return {
      waitedMs: Math.round(host.nowMs() - prompt.arrivedMs),
      waiting: waiting.size,
      yields: getYieldLevel(prompt),
      shareUsed: Number(host.getShareUsed(prompt.team).toFixed(2)),
      limitTokens: Math.round(
        host.getLimitTokens(prompt.service, upstream, prompt.targetMs),
      ),
      upstream,
      load: upstream === undefined ? undefined : getLoad(upstream),
    };
  }

  function refuse(prompt: WaitingPrompt, reason: PromptRefusal["reason"]) {
    const inputs = getRefusalInputs(prompt);
    removeWaiting(prompt, "refused");
    prompt.refuse({ reason, retryAfterMs: getRetryAfterMs(), inputs });
  }

  function getRetryAfterMs(): number {
    return options.retryAfterMs * (1 + RETRY_SPREAD * (host.random() - 0.5));
  }

  /**
   * Refuses only prompts of teams over their share; the other teams are
   * entitled to the capacity that they ask for.
   */
  function tryRefuseEarly(prompt: NewPrompt): PromptRefusal | undefined {
    if (!options.refusesEarly) return undefined;
    const { team, targetMs } = prompt;
    const shareUsed = host.getShareUsed(team);
    if (shareUsed <= 1) return undefined;
    const backlog = backlogTracker.getBacklog(prompt);
    if (!isTooLong(backlog, targetMs * options.maxWaitShare)) return undefined;
    return {
      reason: "in-vain",
      retryAfterMs: getRetryAfterMs(),
      inputs: {
        waitedMs: 0,
        waiting: waiting.size,
        yields: 2,
        shareUsed: Number(shareUsed.toFixed(2)),
        backlog: {
          waiting: backlog.waiting,
          startedPerSecond: Number(backlog.startedPerSecond.toFixed(1)),
        },
        limitTokens: undefined,
        upstream: undefined,
        load: undefined,
      },
    };
  }

  function refuseLate(): void {
    const nowMs = host.nowMs();
    for (const prompt of [...waiting]) {
      if (prompt.getUpstreams().length === 0) refuse(prompt, "no-upstream");
      else if (isLate(prompt, nowMs)) refuse(prompt, "late");
    }
  }

  return {
    add(prompt) {
      // A prompt behind others waits for the next scheduling pass.
      const wasEmpty = waiting.size === 0;
      waiting.add(prompt);
      backlogTracker.recordAdded(prompt);
      if (wasEmpty) startWaiting();
      else {
        const grants = tryGetGrants();
        if (grants !== undefined) askForGrants(grants, prioritise(prompt));
      }
      // No upstream can serve the prompt, so waiting would gain nothing.
      if (waiting.has(prompt) && prompt.getUpstreams().length === 0) {
        refuse(prompt, "no-upstream");
      }
    },
    remove: (prompt) => removeWaiting(prompt, "left"),
    startGranted,
    tryRefuseEarly,
    tick() {
      refuseLate();
      startWaiting();
      reportUnderserved();
    },
    getCount: () => waiting.size,
  };
}

/**
 * Whether a prompt yields far less service for an upstream's time than the
 * mean, such as a short prompt with a long answer, which occupies a slot for
 * seconds. This makes no difference while there is room for all. Under load
 * such prompts leave some room to prompts whose long shared prefixes are
 * cached, of which ten are served in the time of one.
 */
export function isInefficient(
  prompt: Pick<WaitingPrompt, "serviceTokens" | "workTokens">,
  meanEfficiency: number,
): boolean {
  return prompt.serviceTokens / prompt.workTokens <
    meanEfficiency * INEFFICIENT_SHARE;
}
