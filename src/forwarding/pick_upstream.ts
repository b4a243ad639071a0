/**
 * Picks the upstream for a request. Prompts wait in the queue until an upstream
 * has room for them.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { RoomUse } from "../diagnostics/mod.ts";
import type { UpstreamEntry } from "../discovery/mod.ts";
import {
  getAffinityKey,
  type PrefixFetch,
  type PrefixUse,
  rankByLoad,
} from "../placement/mod.ts";
import type { PromptRefusal, WaitingPrompt } from "../queue/mod.ts";
import { hasDisconnected } from "../requests/caller.ts";
import {
  type Call,
  type ForwardHost,
  getRemainingMs,
  isQueued,
  type PickedFetch,
} from "./call.ts";
import {
  countWarmUp,
  createUnavailable,
  getEligible,
  mayFetchFrom,
} from "./eligible_upstreams.ts";
import { createRankingCache } from "./prompt_ranking.ts";
import { getServiceTokens, getWorkTokens } from "./prompt_tokens.ts";
import { Rejected } from "./rejections.ts";
import type { Prompt } from "./types.ts";

/** The upstream picked for a request. */
export interface PickedUpstream {
  readonly upstream: UpstreamEntry;
  /**
   * Tokens that the upstream has to prefill for this prompt, weighted by
   * attention cost.
   */
  readonly readingTokens: number | undefined;
  /**
   * Tokens that the upstream has to prefill before the first event, including
   * this prompt.
   */
  readonly queuedTokens: number | undefined;
  /** Whose room the prompt takes; `undefined` for other calls. */
  readonly room: RoomUse | undefined;
  /**
   * `undefined` if the upstream was not expected to fetch the prompt's shared
   * prefix.
   */
  readonly fetch: PickedFetch | undefined;
  /**
   * How the upstream gets the prompt's shared prefix; `undefined` if it is
   * short, or if the hosts do not keep track of it.
   */
  readonly prefix: PrefixUse | undefined;
  /**
   * Time from the first request for a grant to the grant, in ms; absent if the
   * prompt started without one.
   */
  readonly grantMs?: number | undefined;
  /** Removes the prompt's tokens from the upstream's load, once. */
  endPrefill(): void;
}

/**
 * Picks an upstream; prompts are queued first. Interruption removes the prompt
 * from the queue.
 */
export function pickUpstream(
  host: ForwardHost,
  call: Call,
): Effect.Effect<PickedUpstream, Rejected> {
  const { prompt } = call.headers;
  if (prompt === undefined || !isQueued(call)) {
    return Effect.suspend(() => pickLeastLoaded(host, call));
  }
  return waitInQueue(host, call, prompt);
}

function pickLeastLoaded(
  host: ForwardHost,
  call: Call,
): Effect.Effect<PickedUpstream, Rejected> {
  const candidates = getEligible(host, call);
  const [first] = rankByLoad(candidates.map((each) => ({
    id: each.id,
    slots: each.slots,
    inFlight: host.health.getInFlight(each.id),
    distance: host.getDistance(each.dataCentre),
  })));
  const upstream = candidates.find((each) => each.id === first);
  if (upstream === undefined) {
    return Effect.fail(createUnavailable(host, call));
  }
  countWarmUp(host, call, upstream);
  return Effect.succeed({
    upstream,
    readingTokens: undefined,
    queuedTokens: undefined,
    room: undefined,
    fetch: undefined,
    prefix: undefined,
    endPrefill: () => {},
  });
}

function waitInQueue(
  host: ForwardHost,
  call: Call,
  prompt: Prompt,
): Effect.Effect<PickedUpstream, Rejected> {
  const serviceTokens = getServiceTokens(prompt);
  const workTokens = getWorkTokens(prompt);
  const affinityKey = getAffinityKey(prompt.model, prompt.parts);
  const prefix = host.prefixes.getPrefix(affinityKey);
  if (!call.progress.isDemandRecorded) {
    call.progress.isDemandRecorded = true;
    recordDemand(host, call.team ?? "", prompt);
  }
  return Effect.callback<PickedUpstream, Rejected>((resume) => {
    const queuedAtMs = host.clock.monotonicMs();
    call.progress.queuedAtMs = queuedAtMs;
    const waiting: WaitingPrompt = {
      request: call.headers.requestId,
      team: call.team ?? "",
      arrivedMs: queuedAtMs,
      targetMs: Math.min(call.route.targetMs, getRemainingMs(host, call)),
      service: call.service,
      route: call.route.name,
      serviceTokens,
      workTokens,
      isBegun: call.progress.origin !== undefined,
      isRepeated: call.progress.triedUpstreams.size > 0,
      getUpstreams: createRankingCache(host, call, {
        prompt,
        affinityKey,
        prefix,
      }),
      isCallerConnected: () => !hasDisconnected(call.res),
      start(id, prefill) {
        const { readingTokens, fetch, prefix: use } = prefill;
        const upstream = tryGetReady(host, call, id)!;
        countWarmUp(host, call, upstream);
        if (use !== undefined) host.prefixes.record(prefix, upstream);
        const pickedFetch = fetch && resolveFetch(host, call, fetch);
        const isFetchLost = fetch !== undefined &&
          pickedFetch?.source === undefined;
        let isPrefilling = true;
        function endPrefill(): void {
          if (isPrefilling) host.load.endPrefill(id, readingTokens);
          isPrefilling = false;
        }
        call.progress.prefillEnds.push(endPrefill);
        resume(Effect.succeed({
          ...prefill,
          upstream,
          fetch: pickedFetch,
          prefix: isFetchLost ? "read" : use,
          endPrefill,
        }));
      },
      refuse: (refusal) =>
        resume(Effect.fail(createQueueRejection(host, call, refusal))),
    };
    host.queue.add(waiting);
    return Effect.sync(() => void host.queue.remove(waiting));
  });
}

function tryGetReady(
  host: ForwardHost,
  call: Call,
  id: string,
): UpstreamEntry | undefined {
  return host.directory.getReady(call.service).find((each) => each.id === id);
}

/**
 * Checks the source again: it may have failed or left since the upstreams were
 * ranked.
 */
function resolveFetch(
  host: ForwardHost,
  call: Call,
  { source: id, tokens, reason }: PrefixFetch,
): PickedFetch {
  const source = tryGetReady(host, call, id);
  const mayFetch = source !== undefined && mayFetchFrom(host, call, source);
  return { source: mayFetch ? source : undefined, tokens, reason };
}

/**
 * Adds a prompt to the recorded demand of its team, regardless of its outcome.
 */
export function recordDemand(
  host: ForwardHost,
  team: string,
  prompt: Prompt,
): void {
  const serviceTokens = getServiceTokens(prompt);
  host.load.recordAsked(team, serviceTokens);
  host.load.recordWork(serviceTokens, getWorkTokens(prompt));
}

function createQueueRejection(
  host: ForwardHost,
  call: Call,
  refusal: PromptRefusal,
): Rejected {
  if (refusal.reason === "no-upstream") return createUnavailable(host, call);
  return createBusyRejection(refusal);
}

/** Creates the rejection for a prompt that the queue refuses. */
export function createBusyRejection(refusal: PromptRefusal): Rejected {
  return new Rejected({
    status: 503,
    reason: refusal.reason === "host-busy"
      ? "This host is busy, and the team has had more than its due"
      : "Upstreams are too busy to respond within the target time",
    retryAfterMs: refusal.retryAfterMs,
    queue: refusal.inputs,
  });
}
