/**
 * Ranks the upstreams that a waiting prompt may use: by its shared prefix, by
 * distance, and by who has to warm up.
 *
 * @module
 */

import type { UpstreamEntry } from "../discovery/mod.ts";
import {
  getPrefillTokens,
  hasPrefixCopies,
  NEGLIGIBLE_PREFILL_TOKENS,
  type PrefixTerms,
  rankByAffinity,
  rankForPrompt,
  tryGetFetchTokens,
} from "../placement/mod.ts";
import type { RankedUpstream } from "../queue/mod.ts";
import type { Call, ForwardHost } from "./call.ts";
import { getEligible, mayFetchFrom } from "./eligible_upstreams.ts";
import { getOwnTokens, getUnsharedPrefillTokens } from "./prompt_tokens.ts";
import type { Prompt } from "./types.ts";

/**
 * A ranking of upstreams is recomputed after this time, in ms. With 60
 * upstreams this takes a tenth of a millisecond for each waiting prompt, which
 * would otherwise be spent a hundred times a second. A change of the set of
 * upstreams takes effect at once.
 */
const RANKING_TTL_MS = 100;

/** A prompt with the key of its shared prefix. */
export interface KeyedPrompt {
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
export function createRankingCache(
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
