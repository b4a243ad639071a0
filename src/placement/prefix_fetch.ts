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
 * Which upstreams hold a prefix is known from the placements of all hosts
 * (`prefixes/`). All hosts compute the same ranking, so that they choose the
 * same further upstreams for the copies.
 *
 * @module
 */

import type { MemoryTransfer } from "../routing/mod.ts";

/** Why an upstream that does not hold the prefix gets the prompt. */
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

/** An upstream that was sent a prompt with a prefix. */
export interface PrefixHolder {
  readonly upstream: string;
  /** Time since the first such prompt that is known, in ms. */
  readonly ageMs: number;
}

/**
 * Ready upstreams that a service must have for its prefixes to be copied. With
 * fewer, three copies of each hot prefix would evict the other prefixes.
 */
export const MIN_UPSTREAMS_FOR_COPIES = 16;

/** Upstreams that may hold a deliberate copy of a prefix, the first included. */
export const MAX_COPIES = 3;

/**
 * Least time since the first prompt with the prefix after which a holder may be
 * fetched from, in ms. Before, it has probably not prefilled the prefix yet.
 */
export const MIN_SOURCE_AGE_MS = 300;

/**
 * A fetch may take up to this share of the time that prefilling the prefix
 * takes. The rest covers its set-up, and sources that hold nothing.
 */
const MAX_FETCH_SHARE = 0.5;

const BITS_PER_BYTE = 8;

/** What decides whether upstreams of a service fetch from each other at all. */
export interface FetchCondition {
  /** `undefined` if the configuration does not state how a prefix is fetched. */
  readonly transfer: MemoryTransfer | undefined;
  /** Number of ready upstreams of the service. */
  readonly readyUpstreams: number;
}

/** What decides whether a shared prefix is fetched. */
export interface FetchCostInput extends FetchCondition {
  /** Length of the shared prefix, in tokens. */
  readonly prefixTokens: number;
  /** The same in prefill tokens, which are weighted by attention cost. */
  readonly prefixPrefillTokens: number;
  /** Learned time to prefill a token at an upstream of the service, in ms. */
  readonly msPerPrefillToken: number;
}

/**
 * Whether the service's shared prefixes are copied between its upstreams, and
 * whether the hosts therefore keep track of which upstreams hold them.
 */
export function hasPrefixCopies(
  { transfer, readyUpstreams }: FetchCondition,
): boolean {
  return transfer !== undefined && readyUpstreams >= MIN_UPSTREAMS_FOR_COPIES;
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
  const { transfer, prefixTokens, prefixPrefillTokens } = input;
  if (transfer === undefined || !hasPrefixCopies(input)) return undefined;
  const fetchTokens = getTransferMs(prefixTokens, transfer) /
    input.msPerPrefillToken;
  // False as well if a count of tokens in the request was no number.
  const isWorthwhile = fetchTokens <= prefixPrefillTokens * MAX_FETCH_SHARE;
  return isWorthwhile ? Math.ceil(fetchTokens) : undefined;
}

/** The upstreams that hold a prefix, and the terms of a fetch from them. */
export interface FetchSourcesInput {
  /** The holders by affinity, the preferred one first. */
  readonly holders: readonly PrefixHolder[];
  /** Cost of a fetch, in prefill tokens; `undefined` if it is not worthwhile. */
  readonly fetchTokens: number | undefined;
  /** Whether the upstream is ready, healthy, warm and not in back-off. */
  mayBeSource(id: string): boolean;
}

/**
 * Returns a function that decides the fetch of an upstream by its position among
 * those that do not hold the prefix; `undefined` if it prefills the prefix
 * itself.
 */
export function createFetchDecision(
  { holders, fetchTokens: tokens, mayBeSource }: FetchSourcesInput,
): (at: number) => PrefixFetch | undefined {
  const usable = holders.filter((each) => mayBeSource(each.upstream));
  const source = usable.find((each) => each.ageMs >= MIN_SOURCE_AGE_MS)
    ?.upstream;
  if (source === undefined || tokens === undefined) return () => undefined;
  const copies = MAX_COPIES - usable.length;
  const copy: PrefixFetch = { source, tokens, reason: "copy" };
  const spillover: PrefixFetch = { source, tokens, reason: "spillover" };
  return (at) => at < copies ? copy : spillover;
}
