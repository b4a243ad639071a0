/**
 * An emulated model engine in virtual time. In each step it prefills one chunk
 * of every prompt and produces one token of every output, and it caches the
 * prefixes that it has prefilled. Its parameters are those of the deployments'
 * engines. An emulation that prefilled one chunk per step, instead of one per
 * prompt, ranked scheduling policies in another order than real engines do.
 *
 * @module
 */

/** Speed and limits of an engine. */
export interface EngineProfile {
  /** Duration of a step without prefill and without context, in ms. */
  readonly stepMs: number;
  /** Added to a step's duration for each token of context, in ms. */
  readonly contextMsPerToken: number;
  readonly prefillTokensPerMs: number;
  /** Time for the attention of a prefilled token to an earlier one, in ms. */
  readonly attentionMsPerPair: number;
  /** Most tokens of one prompt that a step prefills. */
  readonly maxChunkTokens: number;
  /** Output tokens in one event of the stream. */
  readonly eventTokens: number;
  /** Most requests that the engine processes at once. */
  readonly slots: number;
}

/** Engines that prefill large chunks. */
export const largeChunkEngine: EngineProfile = {
  stepMs: 3.29,
  contextMsPerToken: 0.0262e-3,
  prefillTokensPerMs: 93,
  attentionMsPerPair: 0.442e-6,
  maxChunkTokens: 4_096,
  eventTokens: 5,
  slots: 48,
};

/** Engines that prefill at half the speed and in small chunks. */
export const smallChunkEngine: EngineProfile = {
  ...largeChunkEngine,
  stepMs: 3.82,
  contextMsPerToken: 0.00256e-3,
  prefillTokensPerMs: 46,
  attentionMsPerPair: 0.242e-6,
  maxChunkTokens: 512,
};

/** A request to the engine. */
export interface EmulatedRequest {
  /** Id of the prefix that the prompt shares with other prompts. */
  readonly sharedPrefix: string;
  readonly prefixTokens: number;
  readonly suffixTokens: number;
  readonly outputTokens: number;
  onPrefilled(nowMs: number): void;
  onEvent(nowMs: number): void;
  onEnd(nowMs: number): void;
}

/** An emulated engine; `createEmulatedEngine` creates one. */
export interface EmulatedEngine {
  add(req: EmulatedRequest): void;
  /** Simulates up to the time given, in ms, which must not decrease. */
  advance(nowMs: number): void;
  countInFlight(): number;
}

interface RunningRequest {
  readonly req: EmulatedRequest;
  remainingPrefillTokens: number;
  contextTokens: number;
  producedTokens: number;
}

/** Creates an engine without requests and with an empty prefix cache. */
export function createEmulatedEngine(
  profile: EngineProfile = largeChunkEngine,
): EmulatedEngine {
  const prefixCache = new Set<string>();
  let prefilling: RunningRequest[] = [];
  let decoding: RunningRequest[] = [];
  let busyUntilMs = 0;
  let completeStep: (() => void) | undefined;

  function useCachedPrefix(run: RunningRequest): void {
    if (run.contextTokens > 0 || !prefixCache.has(run.req.sharedPrefix)) return;
    run.contextTokens = run.req.prefixTokens;
    run.remainingPrefillTokens -= run.req.prefixTokens;
  }

  function startStep(nowMs: number): void {
    const context = decoding.reduce((sum, each) => sum + each.contextTokens, 0);
    let stepMs = profile.stepMs + context * profile.contextMsPerToken;
    const freeSlots = Math.max(0, profile.slots - decoding.length);
    const chunks = prefilling.slice(0, freeSlots).map((run) => {
      useCachedPrefix(run);
      const tokens = Math.min(
        profile.maxChunkTokens,
        run.remainingPrefillTokens,
      );
      stepMs += getPrefillMs(profile, tokens, run.contextTokens);
      return { run, tokens };
    });
    busyUntilMs = nowMs + stepMs;
    completeStep = () => {
      produceTokens();
      for (const { run, tokens } of chunks) completeChunk(run, tokens);
    };
  }

  function completeChunk(run: RunningRequest, tokens: number): void {
    run.contextTokens += tokens;
    run.remainingPrefillTokens -= tokens;
    if (run.remainingPrefillTokens > 0) return;
    prefilling = prefilling.filter((each) => each !== run);
    prefixCache.add(run.req.sharedPrefix);
    run.req.onPrefilled(busyUntilMs);
    decoding.push(run);
  }

  function produceTokens(): void {
    for (const run of decoding) {
      run.producedTokens++;
      const isLast = run.producedTokens >= run.req.outputTokens;
      if (isLast || run.producedTokens % profile.eventTokens === 0) {
        run.req.onEvent(busyUntilMs);
      }
      if (isLast) run.req.onEnd(busyUntilMs);
    }
    decoding = decoding.filter((each) =>
      each.producedTokens < each.req.outputTokens
    );
  }

  return {
    add(req) {
      const remainingPrefillTokens = req.prefixTokens + req.suffixTokens;
      prefilling.push({
        req,
        remainingPrefillTokens,
        contextTokens: 0,
        producedTokens: 0,
      });
    },
    advance(nowMs) {
      while (nowMs >= busyUntilMs) {
        completeStep?.();
        completeStep = undefined;
        if (prefilling.length + decoding.length === 0) return;
        startStep(Math.max(busyUntilMs, nowMs - 1));
      }
    },
    countInFlight: () => prefilling.length + decoding.length,
  };
}

/** Time to prefill the tokens that follow the cached ones, in ms. */
export function getPrefillMs(
  profile: EngineProfile,
  tokens: number,
  cachedTokens: number,
): number {
  const pairs = tokens * (cachedTokens + tokens / 2);
  return tokens / profile.prefillTokensPerMs +
    pairs * profile.attentionMsPerPair;
}
