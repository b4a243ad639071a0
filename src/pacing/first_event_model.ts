/**
 * Predicts the time to a prompt's first event from the tokens that its upstream
 * has to prefill before it, by a linear regression over the first events of the
 * last seconds.
 *
 * Load: engines that prefill 34 to 93 tokens per ms, alone or beside running
 * responses, in deployments of any model.
 *
 * Failure prevented: with one fixed speed, slower engines were given more
 * prompts than they could prefill in time.
 *
 * @module
 */

import {
  addFirstEventSums,
  EMPTY_FIRST_EVENT_SUMS,
  type FirstEventSums,
} from "./types.ts";

/** A regression line that is updated with each first event. */
export interface FirstEventModel {
  /**
   * Adds a sample: the first event arrived `tookMs` after its prompt was sent,
   * with `prefillTokens` to prefill before it.
   */
  addSample(prefillTokens: number, tookMs: number): void;
  /**
   * Predicts the time to the first event, in ms, when `prefillTokens` have to
   * be prefilled, including the prompt's own.
   */
  predictMs(prefillTokens: number): number;
  /**
   * Returns the number of tokens that can be prefilled such that the first
   * event arrives within the given time.
   */
  getTokensWithin(ms: number): number;
  /** Returns the time to prefill one more token, in ms. */
  getMsPerToken(): number;
  /** Returns the sums over the samples of this host. */
  getLocalSums(): FirstEventSums;
}

/** Dependencies of the model. */
export interface FirstEventModelHost {
  nowMs(): number;
  /** Returns the sums over the samples of all other hosts. */
  getRemoteSums(): FirstEventSums;
}

/**
 * Half-life of the samples' weight, in ms: about eighty samples at a busy host.
 */
const HALF_LIFE_MS = 5_000;

/**
 * Prior of the regression line: 80 ms for the network and the first decoding
 * steps, and the speed of the slowest engine encountered.
 */
const PRIOR_BASE_MS = 80;
const PRIOR_MS_PER_TOKEN = 0.02;

/**
 * Weight of the prior slope: equals ten samples that lie 5,000 tokens from
 * their mean. Without it, the slope of a few similar samples would be noise.
 */
const PRIOR_SQUARED_DEVIATIONS = 10 * 5_000 ** 2;

/** Weight of the prior base time, in samples. */
const PRIOR_SAMPLES = 5;

/**
 * Lower bound of the slope, in ms per token: less than for any engine
 * encountered. Bounds the limits that follow from the slope.
 */
const MIN_MS_PER_TOKEN = 0.003;

/**
 * Samples are capped at this time, in ms: a later first event means that the
 * upstream has failed.
 */
export const MAX_SAMPLE_MS = 3_000;

/** Creates a model without samples. */
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
    addSample(prefillTokens, tookMs) {
      decay();
      const ms = Math.min(tookMs, MAX_SAMPLE_MS);
      local = addFirstEventSums(local, {
        count: 1,
        tokens: prefillTokens,
        ms,
        tokensSquared: prefillTokens ** 2,
        tokensMs: prefillTokens * ms,
      });
    },
    predictMs(prefillTokens) {
      const sums = getSums();
      const slope = getSlope(sums);
      return getBaseMs(sums, slope) + slope * prefillTokens;
    },
    getTokensWithin(ms) {
      const sums = getSums();
      const slope = getSlope(sums);
      return Math.max(0, (ms - getBaseMs(sums, slope)) / slope);
    },
    getMsPerToken: () => getSlope(getSums()),
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
