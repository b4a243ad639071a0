/**
 * Decides which waiting prompt is sent next, to which upstream, and which is
 * refused.
 *
 * Load: more prompts than the upstreams read in time, from teams of which some
 * send seven times their share. Harm prevented:
 * - Prompts that are read at the same time delay each other and every answer
 *   beside them, and what waits inside an upstream can neither be refused nor
 *   put in a fair order. So all hosts together give an upstream a bounded number
 *   of tokens to read, learned while serving (`pacing/`), and no more requests
 *   than a share of its slots; the rest waits here.
 * - A team that floods would stand before all others. So a team that has had
 *   more than its share goes last, and leaves a part of each upstream free.
 * - Where one prompt fills an upstream, hosts take turns there and not teams, so
 *   that a team with few hosts gets the least. So a team over its share, or ahead
 *   of others while upstreams give less than is asked, starts nothing that fills
 *   an upstream for which an underserved team's prompt waits.
 * - Operators may state more than upstreams do. Nobody is over a share of that, so
 *   teams that are ahead go last, too; they keep the room that nobody waits for.
 * - A request that waits past its use holds the place of one that could still
 *   be on time. So the newest go first, and one is refused as soon as it is too
 *   late, with when to come back.
 * - After a long turn of the event loop much of what waits is late. So what is too
 *   late is refused before anything starts, and nothing starts for a caller that
 *   has left.
 * - A shared part that is read at a second upstream takes that one's time from all
 *   others. So a prompt leaves its own upstream only for one that idles.
 *
 * @module
 */

import { getOrCreate } from "../core/mod.ts";
import type { QueueInputs } from "../diagnostics/mod.ts";
import { FREE_TOKENS } from "../placement/mod.ts";
import { createPromptBacklogTracker, isTooLong } from "./backlog.ts";
import type {
  NewPrompt,
  PromptQueue,
  PromptQueueHost,
  PromptQueueOptions,
  PromptRefusal,
  RankedUpstream,
  UpstreamLoad,
  WaitingPrompt,
} from "./types.ts";

/**
 * The newest first. Under overload the oldest are those that will be late anyhow;
 * served first, they make all that come after them late as well.
 */
export function compareNewestFirst(a: WaitingPrompt, b: WaitingPrompt): number {
  return b.arrivedMs - a.arrivedMs;
}

/**
 * - A part of the slots stays free: with more in flight each answer takes longer,
 *   and hosts send for a tenth of a second before they know of each other.
 * - Prompts that yield (of a team over its share, or sparse) leave a quarter of
 *   the slots, and half of the reading, to the others. With no reading beside
 *   others, short prompts of teams over their share would starve.
 * - A prompt with little to share goes to the less busy of two upstreams, or of
 *   the next two.
 * - Counted whole, prompts larger than the limit would start only where nothing is
 *   read, which under load is nowhere; counted for less than three quarters they
 *   displace too many others.
 * - A prompt goes elsewhere right before its refusal, and only to an upstream that
 *   has nothing at all to do: a shared part that is read again there makes every
 *   answer beside it pause.
 * - The rest of the target leaves an upstream the time to read the prompt.
 * - After a second a queue of so short waits holds others.
 */
export const defaultPromptQueueOptions: PromptQueueOptions = {
  limit: { slotShare: 0.6, readingShare: 1 },
  inefficientLimit: { slotShare: 0.45, readingShare: 0.5 },
  overShareLimit: { slotShare: 0.45, readingShare: 0.5 },
  negligibleTokens: FREE_TOKENS,
  maxCountedShare: 0.75,
  spilloverShare: 0.55,
  maxWaitShare: 0.6,
  retryAfterMs: 1_000,
  refusesEarly: true,
  yieldsToUnderserved: true,
  compare: compareNewestFirst,
};

/**
 * Below this share of the mean yield a prompt is sparse. Prompts of one kind
 * differ by their answers' lengths; kinds differ by ten times.
 */
const INEFFICIENT_SHARE = 1 / 3;

/**
 * Upstreams among which the least busy gets a prompt with little to share; the
 * next so many where none of these has room. Of two one is little busy, and each
 * more keeps a copy of the shared parts, which together push longer ones out of
 * memory.
 */
const SIMILAR_GROUP_SIZE = 2;

/** Upstreams looked at for one; a look at sixty costs seven times as much. */
const MAX_SIMILAR = 8;

/**
 * Callers that are refused together come back over half of the time that they
 * are told on average: at one moment they would be a burst again.
 */
const RETRY_SPREAD = 0.5;

interface PrioritisedPrompt {
  readonly prompt: WaitingPrompt;
  readonly yields: 0 | 1 | 2;
  /** Its team has had more than others that wait. */
  readonly isDeprioritised: boolean;
}

/** Makes an empty queue. */
export function createPromptQueue(
  host: PromptQueueHost,
  options: PromptQueueOptions = defaultPromptQueueOptions,
): PromptQueue {
  const waiting = new Set<WaitingPrompt>();
  const backlogTracker = createPromptBacklogTracker(host.nowMs);
  /** Loads seen in the present look; asked once each, not by every prompt. */
  const loadCache = new Map<string, UpstreamLoad>();
  const limits = [
    options.limit,
    options.inefficientLimit,
    options.overShareLimit,
  ] as const;

  const getLoad = (upstream: string) =>
    getOrCreate(loadCache, upstream, () => host.getLoad(upstream));

  function tryChooseUpstream(
    { prompt, yields, isDeprioritised }: PrioritisedPrompt,
    nowMs: number,
  ): RankedUpstream | undefined {
    const limit = limits[yields];
    const limitTokens = host.getLimitTokens(prompt.service);
    const maxCountedTokens = limitTokens * options.maxCountedShare;
    const yieldsToUnderserved = options.yieldsToUnderserved &&
      isDeprioritised &&
      !host.isUnderserved(prompt.team);
    const fitsUpstream = ({ upstream, readingTokens }: RankedUpstream) =>
      hasRoom(getLoad(upstream), {
        readingTokens: Math.min(readingTokens, maxCountedTokens),
        slotShare: limit.slotShare,
        limitTokens: limitTokens * limit.readingShare,
        fullLimitTokens: limitTokens,
        yieldsToUnderserved,
      });
    const upstreams = prompt.getUpstreams();
    const [first] = upstreams;
    if (first === undefined) return undefined;
    const similar = upstreams.slice(0, MAX_SIMILAR).filter((each) =>
      each.readingTokens - first.readingTokens <= options.negligibleTokens
    );
    for (let at = 0; at < similar.length; at += SIMILAR_GROUP_SIZE) {
      const withRoom = similar.slice(at, at + SIMILAR_GROUP_SIZE).filter(
        fitsUpstream,
      );
      if (withRoom.length > 0) return getLeastBusy(withRoom, getLoad);
    }
    const waitedMs = nowMs - prompt.arrivedMs;
    if (waitedMs < prompt.targetMs * options.spilloverShare) return undefined;
    return upstreams.find((each) => !similar.includes(each) && isIdle(each));
  }

  /** Whether reading a shared part again there holds up nothing. */
  function isIdle({ upstream }: RankedUpstream): boolean {
    const { inFlight, readingTokens } = getLoad(upstream);
    return readingTokens <= 0 && inFlight <= 0;
  }

  /** Takes a prompt out; false when it had left already. */
  function removeWaiting(prompt: WaitingPrompt, isStarted: boolean): boolean {
    if (!waiting.delete(prompt)) return false;
    backlogTracker.recordRemoved(prompt, isStarted);
    return true;
  }

  function start(prompt: WaitingPrompt, chosen: RankedUpstream): void {
    removeWaiting(prompt, true);
    const { upstream, readingTokens } = chosen;
    const queuedTokens = getLoad(upstream).readingTokens + readingTokens;
    host.onStart(prompt, upstream, readingTokens);
    loadCache.delete(upstream);
    prompt.start(upstream, { readingTokens, queuedTokens });
  }

  /** 0 for a prompt that yields to none, 2 for one that yields to all. */
  function getYieldLevel(prompt: WaitingPrompt): 0 | 1 | 2 {
    if (host.getShareUsed(prompt.team) > 1) return 2;
    return isInefficient(prompt, host.getMeanEfficiency()) ? 1 : 0;
  }

  /** Those that yield least first. */
  function getInPriorityOrder(): readonly PrioritisedPrompt[] {
    const prompts = [...waiting].map((prompt) => {
      const yields = getYieldLevel(prompt);
      const isDeprioritised = yields === 2 || host.isOverserved(prompt.team);
      return { prompt, yields, isDeprioritised };
    });
    return prompts.sort((a, b) =>
      Number(a.isDeprioritised) - Number(b.isDeprioritised) ||
      a.yields - b.yields ||
      options.compare(a.prompt, b.prompt)
    );
  }

  function startWaiting(): void {
    const nowMs = host.nowMs();
    loadCache.clear();
    for (const next of getInPriorityOrder()) {
      if (!next.prompt.isCallerConnected()) continue;
      const chosen = tryChooseUpstream(next, nowMs);
      if (chosen !== undefined) start(next.prompt, chosen);
    }
  }

  /** Other hosts leave the upstreams to these. */
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
      limitTokens: Math.round(host.getLimitTokens(prompt.service)),
      upstream,
      load: upstream === undefined ? undefined : getLoad(upstream),
    };
  }

  function refuse(prompt: WaitingPrompt, reason: PromptRefusal["reason"]) {
    const inputs = getRefusalInputs(prompt);
    removeWaiting(prompt, false);
    prompt.refuse({ reason, retryAfterMs: getRetryAfterMs(), inputs });
  }

  function getRetryAfterMs(): number {
    return options.retryAfterMs * (1 + RETRY_SPREAD * (host.random() - 0.5));
  }

  /** Only for teams over their share: what others ask for is owed to them. */
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
      const maxWaitMs = prompt.targetMs * options.maxWaitShare;
      if (prompt.getUpstreams().length === 0) refuse(prompt, "no-upstream");
      else if (nowMs - prompt.arrivedMs >= maxWaitMs) refuse(prompt, "late");
    }
  }

  return {
    add(prompt) {
      // Behind others it takes its turn at the next look.
      const wasEmpty = waiting.size === 0;
      waiting.add(prompt);
      backlogTracker.recordAdded(prompt);
      if (wasEmpty) startWaiting();
      // Known to be unservable: nothing is gained by keeping it.
      if (waiting.has(prompt) && prompt.getUpstreams().length === 0) {
        refuse(prompt, "no-upstream");
      }
    },
    remove: (prompt) => removeWaiting(prompt, false),
    tryRefuseEarly,
    tick() {
      refuseLate();
      startWaiting();
      reportUnderserved();
    },
    getCount: () => waiting.size,
  };
}

function getLeastBusy(
  upstreams: readonly RankedUpstream[],
  getLoad: (upstream: string) => UpstreamLoad,
): RankedUpstream {
  const getInFlight = ({ upstream }: RankedUpstream) =>
    getLoad(upstream).inFlight;
  // Of equals the first, so that shared parts stay where they are.
  return upstreams.reduce((least, each) =>
    getInFlight(each) < getInFlight(least) ? each : least
  );
}

/**
 * Whether a prompt gives far less service for an upstream's time than others:
 * long answers to short prompts, which hold a place for seconds. While there is
 * room for all it makes no difference; under load they leave some of it to
 * prompts whose large shared parts are kept, of which ten are served in the
 * time of one.
 */
export function isInefficient(
  prompt: Pick<WaitingPrompt, "serviceTokens" | "workTokens">,
  meanEfficiency: number,
): boolean {
  return prompt.serviceTokens / prompt.workTokens <
    meanEfficiency * INEFFICIENT_SHARE;
}

/** What room is asked for. */
export interface RoomRequest {
  /** What the prompt counts for. */
  readonly readingTokens: number;
  /** Share of the slots that may be in use. */
  readonly slotShare: number;
  /** What may be read at the upstream at once. */
  readonly limitTokens: number;
  /** What prompts that don't yield may have read there at once. */
  readonly fullLimitTokens: number;
  /** It leaves the upstream to prompts of underserved teams. */
  readonly yieldsToUnderserved: boolean;
}

/** Whether an upstream has room for a prompt. */
export function hasRoom(load: UpstreamLoad, request: RoomRequest): boolean {
  if (load.inFlight >= load.slots * request.slotShare) return false;
  const readingTokens = load.readingTokens + request.readingTokens;
  const isWithinLimit = readingTokens <= request.limitTokens;
  // A prompt that counts for more than the limit starts where nothing is read.
  if (!isWithinLimit && load.readingTokens > 0) return false;
  const leavesRoomForNext =
    readingTokens + request.readingTokens <= request.fullLimitTokens;
  return leavesRoomForNext || !request.yieldsToUnderserved ||
    load.underservedElsewhere === 0;
}
