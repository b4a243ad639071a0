/**
 * Ranks the upstreams that a prompt may use, each with the tokens that it would
 * have to prefill.
 *
 * Load: prompts with long shared prefixes beside many with short ones, while a
 * data centre's upstreams have just started.
 *
 * Failures prevented:
 * - A long shared prefix is prefilled again at one upstream after the other, or
 *   at the first of the ranking although another one holds it.
 * - An upstream that has to prefill a shared prefix is counted as if it had it
 *   cached, and gets more work than its limit allows.
 * - Responses to prompts with a short one cross the link between regions, event
 *   by event, although each region could cache the prefix.
 * - Few hosts may use a cold upstream, and their prompts are spread over all
 *   upstreams, so that it stays nearly idle while the others are overloaded. It
 *   therefore goes first for prompts that any upstream serves as well.
 *
 * @module
 */

import { NEGLIGIBLE_PREFILL_TOKENS, putFirst } from "./prefix_affinity.ts";
import {
  createFetchDecision,
  type PrefixFetch,
  type PrefixHolder,
} from "./prefix_fetch.ts";

/** A prompt and the upstreams that it may use. */
export interface PromptRankingInput {
  /** Ids of the upstreams by affinity, the preferred one first. */
  readonly ranked: readonly string[];
  /** Tokens to prefill where the shared prefix is cached, and elsewhere. */
  readonly unsharedTokens: number;
  readonly totalTokens: number;
  /** Whether the upstream is in this host's region. */
  isNear(id: string): boolean;
  /** Whether the upstream is cold and a request of this host is due there. */
  isColdAndDue(id: string): boolean;
  /**
   * Which upstreams hold the shared prefix; `undefined` if the hosts do not keep
   * track of it.
   */
  readonly prefix?: PrefixTerms | undefined;
}

/** Where a shared prefix is, and how upstreams fetch it from each other. */
export interface PrefixTerms {
  /** The holders among the upstreams, in any order. */
  readonly holders: readonly PrefixHolder[];
  /** Cost of a fetch, in prefill tokens; `undefined` if it is not worthwhile. */
  readonly fetchTokens: number | undefined;
  /** Whether the upstream is ready, healthy, warm and not in back-off. */
  mayBeSource(id: string): boolean;
}

/**
 * How an upstream gets a shared prefix: it has it cached, fetches it, or reads
 * (prefills) it.
 */
export type PrefixUse = "held" | "fetched" | "read";

/** An upstream with the tokens that it would have to prefill. */
export interface UpstreamForPrompt {
  readonly upstream: string;
  readonly readingTokens: number;
  /**
   * Absent if it prefills the shared prefix or has it cached. Otherwise the cost
   * is included in `readingTokens`.
   */
  readonly fetch?: PrefixFetch | undefined;
  /**
   * Absent if the shared prefix is short, or if the hosts do not keep track of
   * it.
   */
  readonly prefix?: PrefixUse;
}

/** Returns the upstreams, the best first. */
export function rankForPrompt(
  input: PromptRankingInput,
): readonly UpstreamForPrompt[] {
  const { ranked, unsharedTokens, totalTokens } = input;
  const isSharedPrefixSmall =
    totalTokens - unsharedTokens <= NEGLIGIBLE_PREFILL_TOKENS;
  if (!isSharedPrefixSmall) {
    return input.prefix === undefined
      ? addTokens(ranked, input)
      : rankByHolders(input, input.prefix);
  }
  const cold = ranked.filter(input.isColdAndDue);
  const warm = ranked.filter((id) => !input.isColdAndDue(id));
  return [
    ...cold.map((upstream) => ({ upstream, readingTokens: totalTokens })),
    ...addTokens(putFirst(warm, input.isNear), input),
  ];
}

/**
 * All hosts send prompts with the same shared prefix to the same upstream, which
 * therefore has it cached for all but the first of them.
 */
function addTokens(
  ranked: readonly string[],
  { unsharedTokens, totalTokens }: PromptRankingInput,
): readonly UpstreamForPrompt[] {
  return ranked.map((upstream, at) => ({
    upstream,
    readingTokens: at === 0 ? unsharedTokens : totalTokens,
  }));
}

/**
 * Puts the upstreams that hold the prefix first. The others fetch it from one of
 * them if they may, and otherwise prefill it.
 */
function rankByHolders(
  { ranked, unsharedTokens, totalTokens }: PromptRankingInput,
  { holders, fetchTokens, mayBeSource }: PrefixTerms,
): readonly UpstreamForPrompt[] {
  const byId = new Map(holders.map((each) => [each.upstream, each]));
  const held = ranked.filter((id) => byId.has(id));
  const others = ranked.filter((id) => !byId.has(id));
  const tryGetFetch = createFetchDecision({
    holders: held.map((id) => byId.get(id)!),
    fetchTokens,
    mayBeSource,
  });
  const createForOther = (upstream: string, at: number): UpstreamForPrompt => {
    const fetch = tryGetFetch(at);
    return fetch === undefined
      ? { upstream, readingTokens: totalTokens, fetch, prefix: "read" }
      : {
        upstream,
        readingTokens: unsharedTokens + fetch.tokens,
        fetch,
        prefix: "fetched",
      };
  };
  return [
    ...held.map((upstream): UpstreamForPrompt => ({
      upstream,
      readingTokens: unsharedTokens,
      fetch: undefined,
      prefix: "held",
    })),
    ...others.map(createForOther),
  ];
}
