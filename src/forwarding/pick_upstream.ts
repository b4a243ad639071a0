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
  hasPrefixCopies,
  NEGLIGIBLE_PREFILL_TOKENS,
  type PrefixFetch,
  type PrefixTerms,
  type PrefixUse,
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
      getUpstreams: createRankingCache(host, call, {
        prompt,
        affinityKey,
        prefix,
      }),
      isCallerConnected: () => !hasDisconnected(call.res),
      start(id, { readingTokens, queuedTokens, fetch, prefix: use, grantMs }) {
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
          upstream,
          readingTokens,
          queuedTokens,
          fetch: pickedFetch,
          prefix: isFetchLost ? "read" : use,
          grantMs,
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

/** A prompt with the key of its shared prefix. */
interface KeyedPrompt {
  readonly prompt: Prompt;
  readonly affinityKey: string;
  /** Digest of the key. */
  readonly prefix: number;
}

/** The upstreams that a prompt may use, by affinity. */
interface Candidates {
  readonly byId: ReadonlyMap<string, UpstreamEntry>;
  readonly ranked: readonly string[];
}

/**
 * Returns a function that caches the ranking until it expires or until the
 * ready upstreams, the configuration, the evacuations or the stream's origin
 * change. When the prefix has another holder, as after the first of many prompts
 * with it has started, only the ranking by holders is computed again.
 */
function createRankingCache(
  host: ForwardHost,
  call: Call,
  keyed: KeyedPrompt,
): () => readonly RankedUpstream[] {
  let candidates: Candidates = { byId: new Map(), ranked: [] };
  let ranking: readonly RankedUpstream[] = [];
  let basis: readonly unknown[] = [];
  let rankedAtMs = -Infinity;
  let revision = 0;
  return () => {
    const nowMs = host.clock.monotonicMs();
    const nowBasis = [
      host.directory.getReady(call.service),
      host.tryGetRoutes(),
      host.getEvacuated(),
      call.progress.origin,
    ];
    const nowRevision = host.prefixes.getRevision(keyed.prefix);
    const isChanged = nowBasis.some((each, at) => each !== basis[at]);
    const isExpired = isChanged || nowMs - rankedAtMs > RANKING_TTL_MS;
    if (isExpired) {
      candidates = getCandidates(host, call, keyed);
      basis = nowBasis;
      rankedAtMs = nowMs;
    }
    if (isExpired || nowRevision !== revision) {
      ranking = rankUpstreams(host, call, { keyed, candidates });
      revision = nowRevision;
    }
    return ranking;
  };
}

function getCandidates(
  host: ForwardHost,
  call: Call,
  { affinityKey }: KeyedPrompt,
): Candidates {
  const eligible = getEligible(host, call);
  return {
    byId: new Map(eligible.map((each) => [each.id, each])),
    ranked: rankByAffinity(affinityKey, eligible, host.getWeight),
  };
}

/** Ranks the upstreams that the prompt may use now. */
function rankUpstreams(
  host: ForwardHost,
  call: Call,
  { keyed, candidates }: {
    readonly keyed: KeyedPrompt;
    readonly candidates: Candidates;
  },
): readonly RankedUpstream[] {
  const { prompt, prefix } = keyed;
  const { byId, ranked } = candidates;
  const unsharedTokens = getUnsharedPrefillTokens(prompt);
  const totalTokens = getPrefillTokens(prompt.promptTokens, 0);
  const isPrefixLong = totalTokens - unsharedTokens > NEGLIGIBLE_PREFILL_TOKENS;
  return rankForPrompt({
    ranked,
    unsharedTokens,
    totalTokens,
    isNear: (id) =>
      host.getDistance(byId.get(id)!.dataCentre) !== "other-region",
    isColdAndDue: (id) => host.warmUps.getAllowance(byId.get(id)!) === "now",
    prefix: isPrefixLong
      ? tryGetPrefixTerms(host, call, { prompt, prefix, byId })
      : undefined,
  });
}

/**
 * Returns where the prompt's shared prefix is, and how the service's upstreams
 * fetch it from each other; `undefined` if they never do.
 */
function tryGetPrefixTerms(
  host: ForwardHost,
  call: Call,
  { prompt, prefix, byId }: {
    readonly prompt: Prompt;
    readonly prefix: number;
    readonly byId: Candidates["byId"];
  },
): PrefixTerms | undefined {
  const { service } = call;
  const ready = host.directory.getReady(service);
  const condition = {
    transfer: host.tryGetRoutes()?.tryGetMemoryTransfer(service),
    readyUpstreams: ready.length,
  };
  if (!hasPrefixCopies(condition)) return undefined;
  const prefixTokens = prompt.promptTokens - getOwnTokens(prompt);
  return {
    holders: host.prefixes.getHolders(prefix, ready),
    fetchTokens: tryGetFetchTokens({
      ...condition,
      prefixTokens,
      prefixPrefillTokens: getPrefillTokens(prefixTokens, 0),
      msPerPrefillToken: host.getPrefillMsPerToken(service),
    }),
    mayBeSource: (id) => mayFetchFrom(host, call, byId.get(id)!),
  };
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
