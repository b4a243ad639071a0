/**
 * The prompts of the deployments, as their sheets state them: kinds, sizes and how
 * much sizes vary.
 *
 * @module
 */

import type { Random } from "./random.ts";

/** A kind of prompt; sizes are means. */
export interface PromptKind {
  readonly name: "survey" | "summary" | "chat";
  /** Requests a second of a heavy day. */
  readonly perSecond: number;
  readonly sharedTokens: number;
  /** Shared parts, each asked for as often. */
  readonly sharedPrefixes: number;
  readonly ownTokens: number;
  readonly outputTokens: number;
  /** Time to the first event that is on time, in ms. */
  readonly targetMs: number;
}

/** The kinds of the deployments with their heavy days' rates. */
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

/** A prompt as it is drawn. */
export interface DrawnPrompt {
  readonly kind: PromptKind;
  readonly sharedPrefix: string;
  readonly ownTokens: number;
  readonly outputTokens: number;
}

/** Spread of the logarithm of sizes, and the largest in means. */
const SIZE_SPREAD = 1.05;
const MAX_OWN_FACTOR = 14;
const MAX_OUTPUT_FACTOR = 4;

/** Draws a prompt of the kind. */
export function drawPrompt(kind: PromptKind, random: Random): DrawnPrompt {
  return {
    kind,
    sharedPrefix: `${kind.name}/${Math.floor(random() * kind.sharedPrefixes)}`,
    ownTokens: drawSize(kind.ownTokens, MAX_OWN_FACTOR, random),
    outputTokens: drawSize(kind.outputTokens, MAX_OUTPUT_FACTOR, random),
  };
}

/** A size around the mean, by a logarithmic normal distribution. */
function drawSize(mean: number, maxFactor: number, random: Random): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
  const factor = Math.exp(SIZE_SPREAD * normal - SIZE_SPREAD ** 2 / 2);
  return Math.ceil(mean * Math.min(maxFactor, factor));
}
