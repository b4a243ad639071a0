/**
 * Estimates how much an upstream has to prefill for a prompt, in tokens. A
 * token after a long context counts for more, since attention covers all tokens
 * before it.
 *
 * @module
 */

/**
 * Context length, in tokens, at which attention takes as long as the rest of
 * prefill; 24,000 to 61,000 for the engines encountered. Counting tokens
 * without attention would miss half of the work of the longest prompts. The
 * speed of an engine is learned at run time (`pacing/`).
 */
const ATTENTION_BREAK_EVEN_TOKENS = 40_000;

/**
 * Returns the tokens to prefill after a cached prefix, weighted by attention
 * cost and rounded up.
 */
export function getPrefillTokens(tokens: number, cachedTokens: number): number {
  const meanContext = cachedTokens + tokens / 2;
  return Math.ceil(tokens * (1 + meanContext / ATTENTION_BREAK_EVEN_TOKENS));
}
