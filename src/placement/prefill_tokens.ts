/**
 * How much an upstream has to read for a prompt, in tokens. A token behind a long
 * context counts for more, since attention goes over all that stands before it.
 *
 * @module
 */

/**
 * Behind so many tokens attention takes as long as the reading itself; 24,000 to
 * 61,000 for the engines met. A count of tokens alone hides half of the work of
 * the longest prompts; how fast an engine reads is learned (`pacing/`).
 */
const ATTENTION_BREAK_EVEN_TOKENS = 40_000;

/** Tokens to read, attention counted, behind those that are kept; whole. */
export function getPrefillTokens(tokens: number, cachedTokens: number): number {
  const meanContext = cachedTokens + tokens / 2;
  return Math.ceil(tokens * (1 + meanContext / ATTENTION_BREAK_EVEN_TOKENS));
}
