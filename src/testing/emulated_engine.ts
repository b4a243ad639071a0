/**
 * An emulated model engine in virtual time: it works in steps, in each of which it
 * reads a chunk of every prompt that it has and makes a token of every answer, and
 * keeps the parts that it has read. Its figures are those of the deployments'
 * engines. With one chunk a step, not one a prompt, it told policies apart in
 * another order than the real ones do.
 *
 * @module
 */

/** What an engine does in which time. */
export interface EngineProfile {
  /** A step without anything to read or to attend to, in ms. */
  readonly stepMs: number;
  /** What a step takes longer for each token of context, in ms. */
  readonly contextMsPerToken: number;
  readonly prefillTokensPerMs: number;
  /** Attention of a token that is read to one before it, in ms. */
  readonly attentionMsPerPair: number;
  /** Tokens of one prompt that are read in a step at most. */
  readonly maxChunkTokens: number;
  /** Tokens of one event of an answer. */
  readonly eventTokens: number;
  /** Most requests that are worked on at once. */
  readonly slots: number;
}

/** Engines that read much of a prompt between two steps. */
export const largeChunkEngine: EngineProfile = {
  stepMs: 3.29,
  contextMsPerToken: 0.0262e-3,
  prefillTokensPerMs: 93,
  attentionMsPerPair: 0.442e-6,
  maxChunkTokens: 4_096,
  eventTokens: 5,
  slots: 48,
};

/** Engines that read half as fast, and little between two steps. */
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
  readonly sharedPrefix: string;
  readonly prefixTokens: number;
  readonly suffixTokens: number;
  readonly outputTokens: number;
  onPrefilled(nowMs: number): void;
  onEvent(nowMs: number): void;
  onEnd(nowMs: number): void;
}

/** An engine without work. */
export interface EmulatedEngine {
  add(req: EmulatedRequest): void;
  /** Goes on to the time given, in ms; called with times that grow. */
  advance(nowMs: number): void;
  countInFlight(): number;
}

interface RunningRequest {
  readonly req: EmulatedRequest;
  remainingPrefillTokens: number;
  contextTokens: number;
  producedTokens: number;
}

/** Makes an engine that keeps nothing. */
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

/** Time to read so many tokens behind those that are kept, in ms. */
export function getPrefillMs(
  profile: EngineProfile,
  tokens: number,
  cachedTokens: number,
): number {
  const pairs = tokens * (cachedTokens + tokens / 2);
  return tokens / profile.prefillTokensPerMs +
    pairs * profile.attentionMsPerPair;
}
