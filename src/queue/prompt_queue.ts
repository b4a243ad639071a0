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
import { NEGLIGIBLE_PREFILL_TOKENS } from "../placement/mod.ts";
import { createBacklogs, isInVain } from "./backlog.ts";
import type {
  Choice,
  NewPrompt,
  PromptQueue,
  PromptQueueHost,
  PromptQueueOptions,
  PromptRefusal,
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
  yieldingLimit: { slotShare: 0.45, readingShare: 0.5 },
  overShareLimit: { slotShare: 0.45, readingShare: 0.5 },
  freeTokens: NEGLIGIBLE_PREFILL_TOKENS,
  largestShare: 0.75,
  spillShare: 0.55,
  refuseShare: 0.6,
  retryAfterMs: 1_000,
  refusesEarly: true,
  givesWay: true,
  compare: compareNewestFirst,
};

/**
 * Below this share of the mean yield a prompt is sparse. Prompts of one kind
 * differ by their answers' lengths; kinds differ by ten times.
 */
const SPARSE_SHARE = 1 / 3;

/**
 * Upstreams among which the least busy gets a prompt with little to share; the
 * next so many where none of these has room. Of two one is little busy, and each
 * more keeps a copy of the shared parts, which together push longer ones out of
 * memory.
 */
const LIKE_GROUP = 2;

/** Upstreams looked at for one; a look at sixty costs seven times as much. */
const MAX_LIKE = 8;

/**
 * Callers that are refused together come back over half of the time that they
 * are told on average: at one moment they would be a burst again.
 */
const RETRY_SPREAD = 0.5;

interface Ranked {
  readonly prompt: WaitingPrompt;
  readonly yields: 0 | 1 | 2;
  /** Its team has had more than others that wait. */
  readonly isLast: boolean;
}

/** Makes an empty queue. */
export function createPromptQueue(
  host: PromptQueueHost,
  options: PromptQueueOptions = defaultPromptQueueOptions,
): PromptQueue {
  const waiting = new Set<WaitingPrompt>();
  const backlogs = createBacklogs(host.nowMs);
  /** Loads seen in the present look; asked once each, not by every prompt. */
  const seen = new Map<string, UpstreamLoad>();
  const limits = [
    options.limit,
    options.yieldingLimit,
    options.overShareLimit,
  ] as const;

  const getLoad = (upstream: string) =>
    getOrCreate(seen, upstream, () => host.getLoad(upstream));

  function tryPlace(
    { prompt, yields, isLast }: Ranked,
    nowMs: number,
  ): Choice | undefined {
    const limit = limits[yields];
    const limitTokens = host.getLimitTokens(prompt.service);
    const largestTokens = limitTokens * options.largestShare;
    const givesWay = options.givesWay && isLast &&
      !host.isUnderserved(prompt.team);
    const hasRoom = ({ upstream, readingTokens }: Choice) =>
      decideRoom(getLoad(upstream), {
        readingTokens: Math.min(readingTokens, largestTokens),
        slotShare: limit.slotShare,
        limitTokens: limitTokens * limit.readingShare,
        fullTokens: limitTokens,
        givesWay,
      });
    const choices = prompt.getChoices();
    const [first] = choices;
    if (first === undefined) return undefined;
    const like = choices.slice(0, MAX_LIKE).filter((each) =>
      each.readingTokens - first.readingTokens <= options.freeTokens
    );
    for (let at = 0; at < like.length; at += LIKE_GROUP) {
      const withRoom = like.slice(at, at + LIKE_GROUP).filter(hasRoom);
      if (withRoom.length > 0) return getLeastBusy(withRoom, getLoad);
    }
    const waitedMs = nowMs - prompt.arrivedMs;
    if (waitedMs < prompt.targetMs * options.spillShare) return undefined;
    return choices.find((each) => !like.includes(each) && isIdle(each));
  }

  /** Whether reading a shared part again there holds up nothing. */
  function isIdle({ upstream }: Choice): boolean {
    const { inFlight, readingTokens } = getLoad(upstream);
    return readingTokens <= 0 && inFlight <= 0;
  }

  /** Takes a prompt out; false when it had left already. */
  function takeOut(prompt: WaitingPrompt, isStarted: boolean): boolean {
    if (!waiting.delete(prompt)) return false;
    backlogs.noteLeft(prompt, isStarted);
    return true;
  }

  function start(prompt: WaitingPrompt, choice: Choice): void {
    takeOut(prompt, true);
    const { upstream, readingTokens } = choice;
    const queuedTokens = getLoad(upstream).readingTokens + readingTokens;
    host.onStart(prompt, upstream, readingTokens);
    seen.delete(upstream);
    prompt.start(upstream, { readingTokens, queuedTokens });
  }

  /** 0 for a prompt that yields to none, 2 for one that yields to all. */
  function getYield(prompt: WaitingPrompt): 0 | 1 | 2 {
    if (host.getShareUsed(prompt.team) > 1) return 2;
    return isSparse(prompt, host.getMeanYield()) ? 1 : 0;
  }

  /** Those that yield least first. */
  function getInOrder(): readonly Ranked[] {
    const ranked = [...waiting].map((prompt) => {
      const yields = getYield(prompt);
      const isLast = yields === 2 || host.isAhead(prompt.team);
      return { prompt, yields, isLast };
    });
    return ranked.sort((a, b) =>
      Number(a.isLast) - Number(b.isLast) || a.yields - b.yields ||
      options.compare(a.prompt, b.prompt)
    );
  }

  function startAll(): void {
    const nowMs = host.nowMs();
    seen.clear();
    for (const ranked of getInOrder()) {
      if (!ranked.prompt.isWanted()) continue;
      const choice = tryPlace(ranked, nowMs);
      if (choice !== undefined) start(ranked.prompt, choice);
    }
  }

  /** Other hosts leave the upstreams to these. */
  function tellUnderserved(): void {
    const prompts = new Map<string, number>();
    for (const prompt of waiting) {
      const first = prompt.getChoices()[0]?.upstream;
      if (first === undefined || !host.isUnderserved(prompt.team)) continue;
      prompts.set(first, (prompts.get(first) ?? 0) + 1);
    }
    host.onUnderservedWaiting(prompts);
  }

  function getRefusalInputs(prompt: WaitingPrompt): QueueInputs {
    const upstream = prompt.getChoices()[0]?.upstream;
    return {
      waitedMs: Math.round(host.nowMs() - prompt.arrivedMs),
      waiting: waiting.size,
      yields: getYield(prompt),
      shareUsed: Number(host.getShareUsed(prompt.team).toFixed(2)),
      limitTokens: Math.round(host.getLimitTokens(prompt.service)),
      upstream,
      load: upstream === undefined ? undefined : getLoad(upstream),
    };
  }

  function refuse(prompt: WaitingPrompt, reason: PromptRefusal["reason"]) {
    const inputs = getRefusalInputs(prompt);
    takeOut(prompt, false);
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
    const backlog = backlogs.getBacklog(prompt);
    if (!isInVain(backlog, targetMs * options.refuseShare)) return undefined;
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
      const limitMs = prompt.targetMs * options.refuseShare;
      if (prompt.getChoices().length === 0) refuse(prompt, "no-upstream");
      else if (nowMs - prompt.arrivedMs >= limitMs) refuse(prompt, "late");
    }
  }

  return {
    add(prompt) {
      // Behind others it takes its turn at the next look.
      const isFirst = waiting.size === 0;
      waiting.add(prompt);
      backlogs.noteAdded(prompt);
      if (isFirst) startAll();
      // Known to be unservable: nothing is gained by keeping it.
      if (waiting.has(prompt) && prompt.getChoices().length === 0) {
        refuse(prompt, "no-upstream");
      }
    },
    remove: (prompt) => takeOut(prompt, false),
    tryRefuseEarly,
    tick() {
      refuseLate();
      startAll();
      tellUnderserved();
    },
    getCount: () => waiting.size,
  };
}

function getLeastBusy(
  choices: readonly Choice[],
  getLoad: (upstream: string) => UpstreamLoad,
): Choice {
  const getBusy = ({ upstream }: Choice) => getLoad(upstream).inFlight;
  // Of equals the first, so that shared parts stay where they are.
  return choices.reduce((least, each) =>
    getBusy(each) < getBusy(least) ? each : least
  );
}

/**
 * Whether a prompt gives far less service for an upstream's time than others:
 * long answers to short prompts, which hold a place for seconds. While there is
 * room for all it makes no difference; under load they leave some of it to
 * prompts whose large shared parts are kept, of which ten are served in the
 * time of one.
 */
export function isSparse(
  prompt: Pick<WaitingPrompt, "size" | "workTokens">,
  meanYield: number,
): boolean {
  return prompt.size / prompt.workTokens < meanYield * SPARSE_SHARE;
}

/** What room is asked for. */
export interface Need {
  /** What the prompt counts for. */
  readonly readingTokens: number;
  /** Share of the slots that may be in use. */
  readonly slotShare: number;
  /** What may be read at the upstream at once. */
  readonly limitTokens: number;
  /** What prompts that don't yield may have read there at once. */
  readonly fullTokens: number;
  /** It leaves the upstream to prompts of underserved teams. */
  readonly givesWay: boolean;
}

/** Whether an upstream has room for a prompt. */
export function decideRoom(load: UpstreamLoad, need: Need): boolean {
  if (load.inFlight >= load.slots * need.slotShare) return false;
  const readingTokens = load.readingTokens + need.readingTokens;
  const isBeside = readingTokens <= need.limitTokens;
  // A prompt that counts for more than the limit starts where nothing is read.
  if (!isBeside && load.readingTokens > 0) return false;
  const leavesRoom = readingTokens + need.readingTokens <= need.fullTokens;
  return leavesRoom || !need.givesWay || load.underservedElsewhere === 0;
}
