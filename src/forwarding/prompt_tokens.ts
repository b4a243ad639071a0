/**
 * Counts what a prompt asks of an upstream, in tokens.
 *
 * @module
 */

import { getPrefillTokens } from "../placement/mod.ts";
import type { CallHeaders, Prompt } from "./types.ts";

/**
 * Returns the service that a prompt counts for in fair sharing, in tokens:
 * prompt tokens count once, generated tokens twice.
 */
export function getServiceTokens(prompt: Prompt): number {
  return prompt.promptTokens + 2 * prompt.maxOutputTokens;
}

/** Returns the service of a request; `undefined` unless it is a prompt. */
export function tryGetServiceTokens(
  headers: Pick<CallHeaders, "prompt"> | undefined,
): number | undefined {
  return headers?.prompt && getServiceTokens(headers.prompt);
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
export function getOwnTokens(prompt: Prompt): number {
  return prompt.parts.at(-1)?.tokens ?? prompt.promptTokens;
}

/** Returns the tokens to prefill for the last part. */
export function getUnsharedPrefillTokens(prompt: Prompt): number {
  const ownTokens = getOwnTokens(prompt);
  return getPrefillTokens(ownTokens, prompt.promptTokens - ownTokens);
}
