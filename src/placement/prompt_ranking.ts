/**
 * Ranks the upstreams that a prompt may use, each with the tokens that it would
 * have to prefill.
 *
 * Load: prompts with long shared prefixes beside many with short ones, while a
 * data centre's upstreams have just started.
 *
 * Failures prevented:
 * - A long shared prefix is prefilled again at one upstream after the other.
 * - Responses to prompts with a short one cross the link between regions, event
 *   by event, although each region could cache the prefix.
 * - Few hosts may use a cold upstream, and their prompts are spread over all
 *   upstreams, so that it stays nearly idle while the others are overloaded. It
 *   therefore goes first for prompts that any upstream serves as well.
 *
 * @module
 */

import { NEGLIGIBLE_PREFILL_TOKENS, putFirst } from "./prefix_affinity.ts";
import { createFetchDecision, type PrefixFetch } from "./prefix_fetch.ts";

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
   * How upstreams fetch the shared prefix from each other; `undefined` if they
   * do not.
   */
  readonly fetch?: PrefixFetchTerms | undefined;
}

/** How upstreams may fetch a shared prefix from each other. */
export interface PrefixFetchTerms {
  /** Cost of a fetch, in prefill tokens. */
  readonly tokens: number;
  /** Whether the upstream is ready, healthy, warm and not in back-off. */
  mayBeSource(id: string): boolean;
}

/** An upstream with the tokens that it would have to prefill. */
export interface UpstreamForPrompt {
  readonly upstream: string;
  readonly readingTokens: number;
  /**
   * Absent if it prefills the shared prefix or has it cached. Otherwise the cost
   * is included in `readingTokens`.
   */
  readonly fetch?: PrefixFetch | undefined;
}

/** Returns the upstreams, the best first. */
export function rankForPrompt(
  input: PromptRankingInput,
): readonly UpstreamForPrompt[] {
  const { ranked, unsharedTokens, totalTokens } = input;
  const isSharedPrefixSmall =
    totalTokens - unsharedTokens <= NEGLIGIBLE_PREFILL_TOKENS;
  if (!isSharedPrefixSmall) {
    return addFetches(addTokens(ranked, input), input);
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

/** Lets upstreams fetch the prefix instead of prefilling it. */
function addFetches(
  upstreams: readonly UpstreamForPrompt[],
  { ranked, unsharedTokens, fetch: terms }: PromptRankingInput,
): readonly UpstreamForPrompt[] {
  if (terms === undefined) return upstreams;
  const { tokens: fetchTokens, mayBeSource } = terms;
  const tryGetFetch = createFetchDecision({ ranked, fetchTokens, mayBeSource });
  return upstreams.map((each, at) => {
    const fetch = tryGetFetch(at);
    if (fetch === undefined) return each;
    return { ...each, readingTokens: unsharedTokens + fetch.tokens, fetch };
  });
}
