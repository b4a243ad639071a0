/**
 * How long a prompt waits for its first event, by what its upstream has to read
 * before it: a line through the first events of the last seconds.
 *
 * Load: engines that read 34 to 93 tokens a ms, alone or beside answers, on
 * deployments of any model. Harm prevented: with one deployment's speed written
 * down, engines that read more slowly were given more than they read in time.
 *
 * @module
 */

import {
  addFirstEventSums,
  EMPTY_FIRST_EVENT_SUMS,
  type FirstEventSums,
} from "./types.ts";

/** The line, as it is now. */
export interface FirstEventModel {
  /** A first event came so long after its prompt was sent. */
  addSample(readingTokens: number, tookMs: number): void;
  /** Time to the first event behind so many tokens, its own included, in ms. */
  predictMs(readingTokens: number): number;
  /** Tokens behind which the first event comes in the time given. */
  getTokensWithin(ms: number): number;
  /** What this host alone has seen. */
  getLocalSums(): FirstEventSums;
}

/** What the model needs of the process. */
export interface FirstEventModelHost {
  nowMs(): number;
  /** What the other hosts have seen. */
  getRemoteSums(): FirstEventSums;
}

/** Samples fade to a half in so long, in ms: some eighty of a busy host. */
const HALF_LIFE_MS = 5_000;

/**
 * What is assumed before anything is known: 80 ms for the way and the first
 * steps, and engines as slow as the slowest that have been met.
 */
const PRIOR_BASE_MS = 80;
const PRIOR_MS_PER_TOKEN = 0.02;

/**
 * How much the assumption counts: as much as the spread of ten samples that lie
 * 5,000 tokens from their mean. The slope of a few samples alike would be noise.
 */
const PRIOR_SQUARED_DEVIATIONS = 10 * 5_000 ** 2;

/** As many samples count for the assumed base. */
const PRIOR_SAMPLES = 5;

/** No engine met reads faster by so much, in ms a token; bounds the limits. */
const MIN_MS_PER_TOKEN = 0.003;

/** A first event that came later, in ms, says that its upstream has failed. */
const MAX_SAMPLE_MS = 3_000;

/** Makes a model that has seen nothing. */
export function createFirstEventModel(
  host: FirstEventModelHost,
): FirstEventModel {
  let decayedAtMs = host.nowMs();
  let local = EMPTY_FIRST_EVENT_SUMS;

  function decay(): void {
    const factor = 0.5 ** ((host.nowMs() - decayedAtMs) / HALF_LIFE_MS);
    decayedAtMs = host.nowMs();
    local = {
      count: local.count * factor,
      tokens: local.tokens * factor,
      ms: local.ms * factor,
      tokensSquared: local.tokensSquared * factor,
      tokensMs: local.tokensMs * factor,
    };
  }

  const getSums = () => addFirstEventSums(local, host.getRemoteSums());

  return {
    addSample(readingTokens, tookMs) {
      decay();
      const ms = Math.min(tookMs, MAX_SAMPLE_MS);
      local = addFirstEventSums(local, {
        count: 1,
        tokens: readingTokens,
        ms,
        tokensSquared: readingTokens ** 2,
        tokensMs: readingTokens * ms,
      });
    },
    predictMs(readingTokens) {
      const sums = getSums();
      const slope = getSlope(sums);
      return getBaseMs(sums, slope) + slope * readingTokens;
    },
    getTokensWithin(ms) {
      const sums = getSums();
      const slope = getSlope(sums);
      return Math.max(0, (ms - getBaseMs(sums, slope)) / slope);
    },
    getLocalSums() {
      decay();
      return local;
    },
  };
}

function getSlope(sums: FirstEventSums): number {
  const { count, tokens, ms } = sums;
  if (count === 0) return PRIOR_MS_PER_TOKEN;
  const squaredDeviations = sums.tokensSquared - tokens ** 2 / count;
  const crossDeviations = sums.tokensMs - tokens * ms / count;
  const slope =
    (crossDeviations + PRIOR_MS_PER_TOKEN * PRIOR_SQUARED_DEVIATIONS) /
    (squaredDeviations + PRIOR_SQUARED_DEVIATIONS);
  return Math.max(MIN_MS_PER_TOKEN, slope);
}

function getBaseMs({ count, tokens, ms }: FirstEventSums, slope: number) {
  const sum = ms - slope * tokens + PRIOR_BASE_MS * PRIOR_SAMPLES;
  return Math.max(0, sum / (count + PRIOR_SAMPLES));
}
