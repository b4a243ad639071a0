/**
 * Kinds of prompts in the deployments, with their sizes, the variation of the
 * sizes and their rates, as the data sheets of the deployments state them.
 *
 * @module
 */

import type { Random } from "./random.ts";

/** A kind of prompt. */
export interface PromptKind {
  readonly name: "survey" | "summary" | "chat";
  /** Requests per second on a heavy day. */
  readonly perSecond: number;
  /** Tokens of the prefix that prompts share; the same for all of a kind. */
  readonly sharedTokens: number;
  /** Number of shared prefixes, each used equally often. */
  readonly sharedPrefixes: number;
  /** Mean tokens of the unshared suffix. */
  readonly ownTokens: number;
  /** Mean tokens of the answer. */
  readonly outputTokens: number;
  /** Target time to the first event of the answer, in ms. */
  readonly targetMs: number;
}

/** Kinds of prompts, with their rates on a heavy day. */
export const promptKinds: readonly PromptKind[] = [
  {
    name: "survey",
    perSecond: 23,
    sharedTokens: 13_300,
    sharedPrefixes: 51,
    ownTokens: 3_720,
    outputTokens: 120,
    targetMs: 800,
  },
  {
    name: "summary",
    perSecond: 21,
    sharedTokens: 6_300,
    sharedPrefixes: 47,
    ownTokens: 2_890,
    outputTokens: 50,
    targetMs: 800,
  },
  {
    name: "chat",
    perSecond: 44,
    sharedTokens: 350,
    sharedPrefixes: 97,
    ownTokens: 1_110,
    outputTokens: 170,
    targetMs: 600,
  },
];

/** A prompt with a random shared prefix and random sizes. */
export interface DrawnPrompt {
  readonly kind: PromptKind;
  /** Id of the shared prefix. */
  readonly sharedPrefix: string;
  readonly ownTokens: number;
  readonly outputTokens: number;
}

/** Standard deviation of the logarithm of sizes. */
const SIZE_SPREAD = 1.05;

/** Largest sizes of suffixes and answers, as multiples of the mean. */
const MAX_OWN_FACTOR = 14;
const MAX_OUTPUT_FACTOR = 4;

/** Draws a random prompt of the kind. */
export function drawPrompt(kind: PromptKind, random: Random): DrawnPrompt {
  return {
    kind,
    sharedPrefix: `${kind.name}/${Math.floor(random() * kind.sharedPrefixes)}`,
    ownTokens: drawSize(kind.ownTokens, MAX_OWN_FACTOR, random),
    outputTokens: drawSize(kind.outputTokens, MAX_OUTPUT_FACTOR, random),
  };
}

/** Draws a size from a log-normal distribution with the mean, cut off above. */
function drawSize(mean: number, maxFactor: number, random: Random): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
  const factor = Math.exp(SIZE_SPREAD * normal - SIZE_SPREAD ** 2 / 2);
  return Math.ceil(mean * Math.min(maxFactor, factor));
}
