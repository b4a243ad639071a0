/**
 * Decides when an upstream fetches the KV cache of a prompt's shared prefix from
 * another upstream instead of prefilling it again.
 *
 * Load: prompts with shared prefixes of thousands of tokens, of which a few
 * prefixes get far more prompts than one upstream can prefill in time.
 *
 * Failures prevented:
 * - Prompts with a hot prefix are refused while the upstream that it hashes to is
 *   full and others have room.
 * - An upstream fetches over a link on which it would wait longer than for the
 *   prefill, or from one that is about to end.
 * - Copies of many prefixes at many upstreams evict each other. A fetch
 *   therefore has a cost, and few upstreams get copies.
 *
 * All hosts compute the same ranking, so that they choose the same upstreams
 * for the copies without communication.
 *
 * @module
 */

import type { MemoryTransfer } from "../routing/mod.ts";

/** Why an upstream other than the first of the ranking gets the prompt. */
export type PrefixFetchReason = "copy" | "spillover";

/** The fetch of a shared prefix by the upstream that gets the prompt. */
export interface PrefixFetch {
  /** Id of the upstream that has the prefix cached. */
  readonly source: string;
  /** Cost of the fetch, in prefill tokens. */
  readonly tokens: number;
  /**
   * `copy`: the upstream is among the few that may hold the prefix. `spillover`:
   * it is any other, and gets the prompt only if it is idle.
   */
  readonly reason: PrefixFetchReason;
}

/**
 * Ready upstreams that a service must have for its prefixes to be copied. With
 * fewer, three copies of each hot prefix would evict the other prefixes.
 */
export const MIN_UPSTREAMS_FOR_COPIES = 16;

/**
 * Upstreams that may hold a deliberate copy of a prefix, the first of the
 * ranking included.
 */
export const MAX_COPIES = 3;

/**
 * A fetch may take up to this share of the time that prefilling the prefix
 * takes. The rest covers its set-up, and sources that hold nothing.
 */
const MAX_FETCH_SHARE = 0.5;

const BITS_PER_BYTE = 8;

/** What decides whether a shared prefix is fetched. */
export interface FetchCostInput {
  /** `undefined` if the configuration does not state how it is fetched. */
  readonly transfer: MemoryTransfer | undefined;
  /** Number of ready upstreams of the service. */
  readonly readyUpstreams: number;
  /** Length of the shared prefix, in tokens. */
  readonly prefixTokens: number;
  /** The same in prefill tokens, which are weighted by attention cost. */
  readonly prefixPrefillTokens: number;
  /** Learned time to prefill a token at an upstream of the service, in ms. */
  readonly msPerPrefillToken: number;
}

/** Returns the time to transfer the KV cache of the tokens, in ms. */
export function getTransferMs(
  tokens: number,
  { bytesPerToken, megabitsPerSecond }: MemoryTransfer,
): number {
  const bitsPerMs = megabitsPerSecond * 1_000;
  return tokens * bytesPerToken * BITS_PER_BYTE / bitsPerMs;
}

/**
 * Returns the cost of a fetch in prefill tokens, rounded up; `undefined` if the
 * prefix must not be fetched.
 */
export function tryGetFetchTokens(input: FetchCostInput): number | undefined {
  const { transfer, readyUpstreams, prefixTokens, prefixPrefillTokens } = input;
  if (transfer === undefined) return undefined;
  if (readyUpstreams < MIN_UPSTREAMS_FOR_COPIES) return undefined;
  const fetchTokens = getTransferMs(prefixTokens, transfer) /
    input.msPerPrefillToken;
  // False as well if a count of tokens in the request was no number.
  const isWorthwhile = fetchTokens <= prefixPrefillTokens * MAX_FETCH_SHARE;
  return isWorthwhile ? Math.ceil(fetchTokens) : undefined;
}

/** Ranked upstreams, and which of them may be fetched from. */
export interface FetchSourcesInput {
  /** Ids of the upstreams by affinity, the preferred one first. */
  readonly ranked: readonly string[];
  /** Cost of a fetch, in prefill tokens. */
  readonly fetchTokens: number;
  /** Whether the upstream is ready, healthy, warm and not in back-off. */
  mayBeSource(id: string): boolean;
}

/**
 * Returns a function that decides the fetch of the upstream at a position of the
 * ranking; `undefined` if it prefills the prefix itself. The first is expected
 * to have the prefix cached.
 */
export function createFetchDecision(
  { ranked, fetchTokens, mayBeSource }: FetchSourcesInput,
): (at: number) => PrefixFetch | undefined {
  const sources = ranked.slice(0, MAX_COPIES).filter(mayBeSource);
  return (at) => {
    if (at === 0) return undefined;
    const source = sources.find((each) => each !== ranked[at]);
    if (source === undefined) return undefined;
    const reason = at < MAX_COPIES ? "copy" : "spillover";
    return { source, tokens: fetchTokens, reason };
  };
}
