/**
 * Picks the upstream for a request. Prompts wait in the queue until an upstream
 * has room for them.
 *
 * @module
 */

import * as Effect from "effect/Effect";
import type { UpstreamEntry } from "../discovery/mod.ts";
import {
  getAffinityKey,
  getPrefillTokens,
  type PrefixFetch,
  type PrefixFetchTerms,
  rankByAffinity,
  rankByLoad,
  rankForPrompt,
  tryGetFetchTokens,
} from "../placement/mod.ts";
import type {
  PromptRefusal,
  RankedUpstream,
  WaitingPrompt,
} from "../queue/mod.ts";
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
  /**
   * `undefined` if the upstream was not expected to fetch the prompt's shared
   * prefix.
   */
  readonly fetch: PickedFetch | undefined;
  /** Removes the prompt's tokens from the upstream's load, once. */
  endPrefill(): void;
}

/**
 * A ranking of upstreams is recomputed after this time, in ms. With 60
 * upstreams this takes a tenth of a millisecond for each waiting prompt, which
 * would otherwise be spent a hundred times a second. A change of the set of
 * upstreams takes effect at once.
 */
const RANKING_TTL_MS = 100;

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
    fetch: undefined,
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
      getUpstreams: createRankingCache(host, call, prompt),
      isCallerConnected: () => !hasDisconnected(call.res),
      start(id, { readingTokens, queuedTokens, fetch }) {
        const upstream = tryGetReady(host, call, id)!;
        countWarmUp(host, call, upstream);
        let isPrefilling = true;
        function endPrefill(): void {
          if (isPrefilling) host.load.endPrefill(id, readingTokens);
          isPrefilling = false;
        }
        call.progress.prefillEnds.push(endPrefill);
        resume(Effect.succeed({
          upstream,
          readingTokens,
          queuedTokens,
          fetch: fetch && resolveFetch(host, call, fetch),
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

/**
 * Returns a function that caches the ranking until it expires or until the
 * ready upstreams, the configuration, the evacuations or the stream's origin
 * change.
 */
function createRankingCache(
  host: ForwardHost,
  call: Call,
  prompt: Prompt,
): () => readonly RankedUpstream[] {
  let ranking: readonly RankedUpstream[] = [];
  let basis: readonly unknown[] = [];
  let rankedAtMs = -Infinity;
  return () => {
    const nowMs = host.clock.monotonicMs();
    const nowBasis = [
      host.directory.getReady(call.service),
      host.tryGetRoutes(),
      host.getEvacuated(),
      call.progress.origin,
    ];
    const isChanged = nowBasis.some((each, at) => each !== basis[at]);
    if (isChanged || nowMs - rankedAtMs > RANKING_TTL_MS) {
      ranking = rankUpstreams(host, call, prompt);
      basis = nowBasis;
      rankedAtMs = nowMs;
    }
    return ranking;
  };
}

/** Ranks the upstreams that the prompt may use now. */
function rankUpstreams(
  host: ForwardHost,
  call: Call,
  prompt: Prompt,
): readonly RankedUpstream[] {
  const candidates = new Map(
    getEligible(host, call).map((each) => [each.id, each]),
  );
  const key = getAffinityKey(prompt.model, prompt.parts);
  return rankForPrompt({
    ranked: rankByAffinity(key, [...candidates.values()], host.getWeight),
    unsharedTokens: getUnsharedPrefillTokens(prompt),
    totalTokens: getPrefillTokens(prompt.promptTokens, 0),
    isNear: (id) =>
      host.getDistance(candidates.get(id)!.dataCentre) !== "other-region",
    isColdAndDue: (id) =>
      host.warmUps.getAllowance(candidates.get(id)!) === "now",
    fetch: tryGetFetchTerms(host, call, prompt, candidates),
  });
}

/**
 * Returns how the upstreams of a service fetch the prompt's shared prefix from
 * each other; `undefined` if they do not.
 */
function tryGetFetchTerms(
  host: ForwardHost,
  call: Call,
  prompt: Prompt,
  candidates: ReadonlyMap<string, UpstreamEntry>,
): PrefixFetchTerms | undefined {
  const { service } = call;
  const transfer = host.tryGetRoutes()?.tryGetMemoryTransfer(service);
  if (transfer === undefined) return undefined;
  const prefixTokens = prompt.promptTokens - getOwnTokens(prompt);
  const tokens = tryGetFetchTokens({
    transfer,
    readyUpstreams: host.directory.getReady(service).length,
    prefixTokens,
    prefixPrefillTokens: getPrefillTokens(prefixTokens, 0),
    msPerPrefillToken: host.getPrefillMsPerToken(service),
  });
  if (tokens === undefined) return undefined;
  const mayBeSource = (id: string) =>
    mayFetchFrom(host, call, candidates.get(id)!);
  return { tokens, mayBeSource };
}

/**
 * Returns the service that a prompt counts for in fair sharing, in tokens:
 * prompt tokens count once, generated tokens twice.
 */
export function getServiceTokens(prompt: Prompt): number {
  return prompt.promptTokens + 2 * prompt.maxOutputTokens;
}

/**
 * Work for one generated token, in prefill tokens: a decoding step generates
 * one token for each running response, and prefills hundreds of tokens in the
 * same time.
 */
const GENERATED_TOKEN_WEIGHT = 140;

/**
 * Returns the work of an upstream, in prefill tokens, for a prompt whose shared
 * prefix it has cached.
 */
export function getWorkTokens(prompt: Prompt): number {
  return getUnsharedPrefillTokens(prompt) +
    prompt.maxOutputTokens * GENERATED_TOKEN_WEIGHT;
}

/** Returns the tokens of the last part, which no other request shares. */
function getOwnTokens(prompt: Prompt): number {
  return prompt.parts.at(-1)?.tokens ?? prompt.promptTokens;
}

/** Returns the tokens to prefill for the last part. */
function getUnsharedPrefillTokens(prompt: Prompt): number {
  const ownTokens = getOwnTokens(prompt);
  return getPrefillTokens(ownTokens, prompt.promptTokens - ownTokens);
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
    reason: "Upstreams are too busy to respond within the target time",
    retryAfterMs: refusal.retryAfterMs,
    queue: refusal.inputs,
  });
}
