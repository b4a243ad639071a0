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
 * - Small prompts fit into what is left at an upstream, one after the other, and
 *   a large one never does. Such teams therefore leave as much room as the
 *   prompts of underserved teams need, at this host and elsewhere. Where many
 *   hosts fill an upstream at once, these may exceed its limit as well.
 * - All hosts see at once that an upstream has room, and fill it several times
 *   over before they learn of each other. Yielding prompts therefore use it with
 *   the probability that is its share of what waits for it at all hosts.
 * - Operators may state more capacity than the upstreams have. No team exceeds
 *   its share of that, so overserved teams go last as well. They may use all
 *   room for which no other team's prompt waits.
 * - Of several such teams the one that sends more prompts to a host would start
 *   more there. The one that had less service of the fleet goes first.
 * - A prompt that has waited too long takes the place of one that could still
 *   meet its target. The newest therefore go first, and a prompt is refused as
 *   soon as it is too late, with the time after which to retry.
 * - A flood at all hosts takes the processor time that connections of other teams
 *   need at a few. While connections are turned away, a busy host therefore
 *   refuses prompts of teams over their due by their headers (`shed_share.ts`).
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

import type { QueueInputs, RoomUse, TeamStanding } from "../diagnostics/mod.ts";
import {
  createPromptBacklogTracker,
  isTooLong,
  type PromptBacklog,
} from "./backlog.ts";
import {
  defaultPromptQueueOptions,
  isInefficient,
} from "./prompt_queue_options.ts";
import { getShedShare } from "./shed_share.ts";
import {
  createUpstreamChoice,
  type PrioritisedPrompt,
  tryGetGrants,
} from "./upstream_choice.ts";
import { getWaitingLoads, type WaitingPart } from "./waiting_loads.ts";
import type {
  NewPrompt,
  PromptGrants,
  PromptQueue,
  PromptQueueHost,
  PromptQueueOptions,
  PromptRefusal,
  RankedUpstream,
  WaitingPrompt,
  YieldLevel,
} from "./types.ts";

/**
 * Retry times are spread over this share of their mean. Callers that were
 * refused together would otherwise return together as another burst.
 */
const RETRY_SPREAD = 0.5;

/** Creates an empty queue. */
export function createPromptQueue(
  host: PromptQueueHost,
  options: PromptQueueOptions = defaultPromptQueueOptions,
): PromptQueue {
  const waiting = new Set<WaitingPrompt>();
  const backlogTracker = createPromptBacklogTracker(host.nowMs);
  const choice = createUpstreamChoice(host, options);

  /** Asks for grants to start a prompt for which there is no free room. */
  function askForGrants(
    grants: PromptGrants,
    next: PrioritisedPrompt,
  ): void {
    const { prompt, yields, isDeprioritised } = next;
    const maxWaitMs = prompt.targetMs * options.maxWaitShare;
    const terms = { yields, isDeprioritised, maxWaitMs };
    if (grants.isRequestDue(prompt)) {
      const askable = choice.getAskable(grants, prompt.getUpstreams());
      grants.ask(prompt, askable, terms);
    }
    const waitedMs = host.nowMs() - prompt.arrivedMs;
    if (waitedMs < prompt.targetMs * options.spilloverShare) return;
    if (grants.hasRequestedIdle(prompt)) return;
    const idle = choice.tryGetIdleToAsk(grants, next);
    if (idle !== undefined) grants.requestIdle(prompt, idle, terms);
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
    const queuedTokens = choice.getLoad(upstream).readingTokens + readingTokens;
    const room = getRoomUse(prompt, upstream);
    host.onStart(prompt, upstream, readingTokens);
    choice.forgetLoad(upstream);
    if (grantMs === undefined) {
      tryGetGrants(host)?.recordStart(prompt, upstream, readingTokens);
    }
    const tokens = { readingTokens, queuedTokens, room, fetch, prefix };
    prompt.start(
      upstream,
      grantMs === undefined ? tokens : { ...tokens, grantMs },
    );
  }

  function getRoomUse(
    { team, service, targetMs }: WaitingPrompt,
    upstream: string,
  ): RoomUse {
    return {
      standing: getStanding(team),
      limitTokens: Math.round(host.getLimitTokens(service, upstream, targetMs)),
      underservedTokens: choice.getLoad(upstream).underservedTokens,
    };
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
    choice.forgetLoad(upstream);
    if (chosen === undefined || choice.getLoad(upstream).isWarmUpSpent) {
      return false;
    }
    start(prompt, chosen, grantMs);
    return true;
  }

  function isLate(prompt: WaitingPrompt, nowMs: number): boolean {
    const maxWaitMs = prompt.targetMs * options.maxWaitShare;
    return nowMs - prompt.arrivedMs >= maxWaitMs;
  }

  function isOverShare(team: string): boolean {
    return host.getShareUsed(team) > 1;
  }

  function isDeprioritised(team: string): boolean {
    return isOverShare(team) || host.isOverserved(team);
  }

  /**
   * Returns 0 for a prompt that yields to no others, 1 for an inefficient
   * prompt, which yields to those of level 0, and 2 for a prompt of a team over
   * its share, which yields to all others.
   */
  function getYieldLevel(prompt: WaitingPrompt): YieldLevel {
    if (isOverShare(prompt.team)) return 2;
    return isInefficient(prompt, host.getMeanEfficiency()) ? 1 : 0;
  }

  function prioritise(prompt: WaitingPrompt): PrioritisedPrompt {
    const yields = getYieldLevel(prompt);
    const goesLast = isDeprioritised(prompt.team);
    const serviceLevel = goesLast ? host.getServiceLevel(prompt.team) : 0;
    return { prompt, yields, isDeprioritised: goesLast, serviceLevel };
  }

  /** Sorts the waiting prompts by priority, the highest first. */
  function getInPriorityOrder(): readonly PrioritisedPrompt[] {
    return [...waiting].map(prioritise).sort((a, b) =>
      Number(a.isDeprioritised) - Number(b.isDeprioritised) ||
      a.yields - b.yields ||
      Number(b.prompt.isBegun) - Number(a.prompt.isBegun) ||
      a.serviceLevel - b.serviceLevel ||
      options.compare(a.prompt, b.prompt)
    );
  }

  function startWaiting(): void {
    const nowMs = host.nowMs();
    const grants = tryGetGrants(host);
    choice.beginPass();
    for (const next of getInPriorityOrder()) {
      if (!next.prompt.isCallerConnected()) continue;
      const chosen = choice.tryChoose(next, nowMs);
      if (chosen !== undefined) start(next.prompt, chosen);
      else if (grants !== undefined) askForGrants(grants, next);
    }
  }

  function getPart(prompt: WaitingPrompt): WaitingPart {
    const { team } = prompt;
    if (host.isUnderserved(team)) return "underserved";
    const terms = { prompt, isDeprioritised: isDeprioritised(team) };
    return choice.isYielding(terms) ? "yielding" : "neither";
  }

  function reportWaiting(): void {
    const grants = tryGetGrants(host);
    host.onWaiting(getWaitingLoads(waiting, {
      getPart,
      mayStartWithoutGrant: (each) => choice.mayStartWithoutGrant(grants, each),
    }));
  }

  function getRoundedUtilization(): number {
    return Math.round(host.getProcessorUse().utilization * 100) / 100;
  }

  function getTeamInputs(team: string) {
    return {
      waiting: waiting.size,
      shareUsed: Number(host.getShareUsed(team).toFixed(2)),
      service: host.getServiceRates(team),
      standing: getStanding(team),
      coverage: host.getCoverage(),
      utilization: getRoundedUtilization(),
    };
  }

  function getStanding(team: string): TeamStanding {
    if (host.isUnderserved(team)) return "underserved";
    return host.isOverserved(team) ? "overserved" : "even";
  }

  function getRefusalInputs(prompt: WaitingPrompt): QueueInputs {
    const first = prompt.getUpstreams()[0];
    const upstream = first?.upstream;
    return {
      readingTokens: first && Math.round(first.readingTokens),
      waitedMs: Math.round(host.nowMs() - prompt.arrivedMs),
      ...getTeamInputs(prompt.team),
      yields: getYieldLevel(prompt),
      limitTokens: Math.round(
        host.getLimitTokens(prompt.service, upstream, prompt.targetMs),
      ),
      upstream,
      load: upstream === undefined ? undefined : choice.getLoad(upstream),
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

  /** Whether this host leaves the processor time for the prompt to others. */
  function isShed({ team }: NewPrompt): boolean {
    const share = getShedShare(host.getProcessorUse());
    return share > 0 && isDeprioritised(team) && host.random() < share;
  }

  /** Whether more prompts like this one wait than can start in time. */
  function isInVain(prompt: NewPrompt, backlog: PromptBacklog): boolean {
    return isOverShare(prompt.team) &&
      isTooLong(backlog, prompt.targetMs * options.maxWaitShare);
  }

  function tryGetEarlyReason(
    prompt: NewPrompt,
    backlog: PromptBacklog,
  ): "host-busy" | "in-vain" | undefined {
    if (isShed(prompt)) return "host-busy";
    return isInVain(prompt, backlog) ? "in-vain" : undefined;
  }

  /**
   * Refuses only prompts of teams over their due or their share; the other teams
   * are entitled to the capacity that they ask for. A team that gets far less than
   * others is refused late only: its backlog at this host starts slowly since
   * others go first, and other hosts leave it upstreams for which it waits.
   */
  function tryRefuseEarly(prompt: NewPrompt): PromptRefusal | undefined {
    const { team } = prompt;
    if (!options.refusesEarly || host.isUnderserved(team)) return undefined;
    const backlog = backlogTracker.getBacklog(prompt);
    const reason = tryGetEarlyReason(prompt, backlog);
    if (reason === undefined) return undefined;
    return {
      reason,
      retryAfterMs: getRetryAfterMs(),
      inputs: {
        waitedMs: 0,
        ...getTeamInputs(team),
        yields: isOverShare(team) ? 2 : 0,
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
        const grants = tryGetGrants(host);
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
      reportWaiting();
    },
    getCount: () => waiting.size,
  };
}
