/**
 * The policy of the prompt queue: its default limits, and which prompts yield
 * because they are inefficient.
 *
 * @module
 */

import { NEGLIGIBLE_PREFILL_TOKENS } from "../placement/mod.ts";
import type { PromptQueueOptions, WaitingPrompt } from "./types.ts";

/**
 * Sorts the newest prompts first. Under overload the oldest will miss their
 * targets in any case; served first, they would make all later prompts late as
 * well.
 */
export function compareNewestFirst(a: WaitingPrompt, b: WaitingPrompt): number {
  return b.arrivedMs - a.arrivedMs;
}

/**
 * The default policy:
 * - `limit`: some slots stay free. With more requests in flight each answer
 *   takes longer, and hosts start prompts for a tenth of a second before they
 *   learn of each other's requests.
 * - `inefficientLimit`, `overShareLimit`: prompts that yield (inefficient ones,
 *   and those of teams over their share) leave a quarter of the slots, and half
 *   of the prefill limit, to the others. If they could not prefill beside
 *   others at all, short prompts of teams over their share would starve.
 * - `underservedFactors`: many hosts fill an upstream before they learn of each
 *   other's prompts. Within the limits, the few prompts of an underserved team
 *   would find no room in between. Owners of upstreams grant as much.
 * - `negligibleTokens`: a prompt with a short shared prefix goes to the less
 *   busy of two upstreams, or of the next two.
 * - `maxCountedShare`: counted in full, prompts larger than the limit would
 *   start only at an upstream that prefills nothing, which is rare under load.
 *   Counted for less than three quarters of the limit, they displace too many
 *   others.
 * - `spilloverShare`: a prompt goes to another upstream only shortly before it
 *   would be refused, and only to an idle one. Prefilling its shared prefix
 *   again at a busy upstream delays every answer there.
 * - `maxWaitShare`: the rest of the target time is left for the prefill.
 * - `retryAfterMs`: with waits this short, the queue has been replaced after a
 *   second.
 */
export const defaultPromptQueueOptions: PromptQueueOptions = {
  limit: { slotShare: 0.6, prefillShare: 1 },
  inefficientLimit: { slotShare: 0.45, prefillShare: 0.5 },
  overShareLimit: { slotShare: 0.45, prefillShare: 0.5 },
  underservedFactors: { slotShare: 1.5, prefillShare: 2 },
  negligibleTokens: NEGLIGIBLE_PREFILL_TOKENS,
  maxCountedShare: 0.75,
  spilloverShare: 0.55,
  maxWaitShare: 0.6,
  retryAfterMs: 1_000,
  refusesEarly: true,
  yieldsToUnderserved: true,
  compare: compareNewestFirst,
};

/**
 * A prompt whose efficiency is below this share of the mean is inefficient.
 * Prompts of one kind differ only by the lengths of their answers, but kinds of
 * prompts differ by a factor of ten.
 */
const INEFFICIENT_SHARE = 1 / 3;

/**
 * Whether a prompt yields far less service for an upstream's time than the
 * mean, such as a short prompt with a long answer, which occupies a slot for
 * seconds. This makes no difference while there is room for all. Under load
 * such prompts leave some room to prompts whose long shared prefixes are
 * cached, of which ten are served in the time of one.
 */
export function isInefficient(
  prompt: Pick<WaitingPrompt, "serviceTokens" | "workTokens">,
  meanEfficiency: number,
): boolean {
  return prompt.serviceTokens / prompt.workTokens <
    meanEfficiency * INEFFICIENT_SHARE;
}
