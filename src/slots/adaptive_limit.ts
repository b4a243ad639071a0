/**
 * How many requests an upstream may have in flight, learned from its own uses:
 * time to the first byte, time between tokens, and failures. Additive increase
 * while it keeps its pace, multiplicative decrease when it slows down, and a
 * breaker that takes it out when it fails.
 *
 * Load: one upstream that becomes ten times slower, then stalls, then recovers,
 * while every team has a backlog. Harm prevented: requests pile up there while
 * other upstreams have room; and streams crowd an engine until none of them
 * keeps the time between tokens. The upstream's own load report lags by seconds,
 * so it does not enter here.
 *
 * @module
 */

import { clamp } from "../core/mod.ts";
import { type BreakerState, createCircuitBreaker } from "./circuit_breaker.ts";
import { createLatencyTracker } from "./latency_tracker.ts";

/** Limits of the limit; each with its reason. */
export interface AdaptiveLimitOptions {
  /** From the configuration: above it the upstream's memory does not reach. */
  readonly maxSlots: number;
  /** Told each change of the limit, with its reason. */
  readonly onChange?: (limit: number, reason: string) => void;
}

/** How one use of a slot went. */
export interface SlotUse {
  readonly slot: number;
  readonly result: "answered" | "failed";
  /** Time to the first byte, in ms; 0 when none came. */
  readonly firstByteMs: number;
  /** Mean time between two tokens, in ms; 0 when there were none. */
  readonly tokenIntervalMs: number;
}

/** The limit of one upstream. */
export interface AdaptiveLimit {
  /** Slots that may be in use now; 0 while the upstream is taken out. */
  get(): number;
  getState(): BreakerState;
  /** A slot was granted. */
  observeStart(slot: number, nowMs: number): void;
  /** A slot came back after a use. */
  observeEnd(use: SlotUse, nowMs: number): void;
  /** A slot came back unused. */
  observeUnused(slot: number): void;
  /** Takes a changed maximum of the configuration. */
  setMaxSlots(maxSlots: number): void;
  /** Called now and then, so that a probe follows a pause. */
  tick(nowMs: number): void;
}

/** One slot stays, so that recovery is seen. */
const MIN_SLOTS = 1;

/**
 * Slower than its base by this factor, an upstream queues inside. A mix of long
 * and short prompts moves the average of 16 by less.
 */
const SLOWDOWN_THRESHOLD = 3;

/** The goal for the time between two tokens, for 95 in 100. */
const TOKEN_INTERVAL_TARGET_MS = 31;

/**
 * Two decreases in a row, which halve the streams, that bring less than a tenth
 * in time between tokens show that the engine is slow by itself. One could be
 * judged from streams that began before it.
 */
const INEFFECTIVE_RATIO = 0.9;
const MAX_INEFFECTIVE_DECREASES = 2;

/** Such an engine is held to its own pace, times this. */
const TOKEN_INTERVAL_SLACK = 1.2;

/** Weight of the newest use in the share that misses the goal: 1 in 20. */
const MISS_RATE_WEIGHT = 0.05;

/** More than two misses in about 20 uses: the goal is for 95 in 100. */
const MAX_MISS_RATE = 0.08;

/** What is left after a slow spell; gentle, since another follows if needed. */
const DECREASE_FACTOR = 0.7;

/**
 * An upstream that stays slow with one request in flight is not slow from its
 * load: after this its pace is taken for its new normal.
 */
const BASELINE_RESET_MS = 60_000;

/** Decreases that did not help, and the limit before the first of them. */
interface IneffectiveDecreases {
  readonly count: number;
  readonly tokenIntervalMs: number;
  readonly limit: number;
}

/** Makes a limit that starts at the configured maximum. */
export function createAdaptiveLimit(
  options: AdaptiveLimitOptions,
): AdaptiveLimit {
  let { maxSlots } = options;
  const firstByteLatency = createLatencyTracker();
  const tokenIntervals = createLatencyTracker();
  const startedMs = new Map<number, number>();
  let limit = maxSlots;
  let slowStartThreshold = maxSlots;
  let missRate = 0;
  let targetTokenIntervalMs = TOKEN_INTERVAL_TARGET_MS;
  let ineffective: IneffectiveDecreases | undefined;
  let lastDecreaseMs = -Infinity;
  let atMinimumSinceMs: number | undefined;
  let reportedLimit = maxSlots;

  const breaker = createCircuitBreaker((state, reason) => {
    // It comes back with few slots and earns the others.
    if (state === "closed") limit = MIN_SLOTS;
    if (state === "open") {
      slowStartThreshold = Math.max(slowStartThreshold, limit / 2);
    }
    reportChange(reason);
  });

  function countRequestsBeforeOpening(): number {
    let count = 0;
    for (const ms of startedMs.values()) if (!breaker.isProbe(ms)) count++;
    return count;
  }

  function get(): number {
    switch (breaker.getState()) {
      case "closed":
        return Math.floor(limit);
      case "open":
        return 0;
      case "half-open":
        // Those stuck since before it opened keep their slots; one more probes.
        return countRequestsBeforeOpening() + 1;
    }
  }

  function reportChange(reason: string): void {
    const current = get();
    if (current === reportedLimit) return;
    reportedLimit = current;
    options.onChange?.(current, reason);
  }

  function observeLatency(use: SlotUse): void {
    if (use.firstByteMs > 0) firstByteLatency.observe(use.firstByteMs);
    if (use.tokenIntervalMs <= 0) return;
    tokenIntervals.observe(use.tokenIntervalMs);
    missRate += MISS_RATE_WEIGHT * ((missesTarget(use) ? 1 : 0) - missRate);
  }

  function missesTarget(use: SlotUse): boolean {
    return use.tokenIntervalMs > targetTokenIntervalMs;
  }

  function tryGetSlowReason(): string | undefined {
    const slowdown = firstByteLatency.getSlowdown();
    if (slowdown > SLOWDOWN_THRESHOLD) {
      return `The first byte takes ${
        slowdown.toFixed(1)
      } times its normal time`;
    }
    if (missRate <= MAX_MISS_RATE) return undefined;
    const recentMs = tokenIntervals.getRecentMs().toFixed(0);
    return `The time between tokens, ${recentMs} ms, misses its goal too often`;
  }

  /**
   * Whether the last decreases helped the time between tokens too little. Then
   * the engine does not slow down from its load, and holding it to ever fewer
   * streams would waste it.
   */
  function isSlowRegardlessOfLoad(): boolean {
    if (missRate <= MAX_MISS_RATE) return false;
    const tokenIntervalMs = tokenIntervals.getRecentMs();
    ineffective ??= { count: -1, tokenIntervalMs: 0, limit };
    const isIneffective = tokenIntervalMs > targetTokenIntervalMs &&
      tokenIntervalMs > ineffective.tokenIntervalMs * INEFFECTIVE_RATIO;
    ineffective = {
      ...ineffective,
      tokenIntervalMs,
      count: isIneffective ? ineffective.count + 1 : 0,
    };
    return ineffective.count >= MAX_INEFFECTIVE_DECREASES;
  }

  function acceptTokenInterval(): void {
    const slackMs = tokenIntervals.getRecentMs() * TOKEN_INTERVAL_SLACK;
    targetTokenIntervalMs = Math.max(TOKEN_INTERVAL_TARGET_MS, slackMs);
    limit = Math.max(limit, ineffective?.limit ?? 0);
    ineffective = undefined;
    missRate = 0;
    reportChange("Its own time between tokens is over the goal");
  }

  function decrease(nowMs: number, reason: string): void {
    lastDecreaseMs = nowMs;
    missRate = 0;
    if (limit >= slowStartThreshold) {
      slowStartThreshold = Math.max(MIN_SLOTS, limit / 2);
    }
    // From what is in flight: a limit that was never reached slows nothing down.
    const inFlight = Math.max(1, startedMs.size + 1);
    limit = Math.min(limit, Math.max(MIN_SLOTS, inFlight)) * DECREASE_FACTOR;
    limit = clamp(limit, MIN_SLOTS, maxSlots);
    if (limit === MIN_SLOTS) atMinimumSinceMs ??= nowMs;
    reportChange(reason);
  }

  function increase(inFlight: number): void {
    atMinimumSinceMs = undefined;
    ineffective = undefined;
    // Only a limit that was about reached has shown that it can be borne.
    if (inFlight < limit / 2) return;
    // Up to half of what it bore before it doubles with each round of answers;
    // above, it grows by one with each round.
    limit += limit < slowStartThreshold ? 1 : 1 / limit;
    limit = clamp(limit, MIN_SLOTS, maxSlots);
    reportChange("It keeps its pace");
  }

  function resetBaselineIfSlowAtMinimum(nowMs: number): void {
    if (atMinimumSinceMs === undefined) return;
    if (nowMs - atMinimumSinceMs < BASELINE_RESET_MS) return;
    firstByteLatency.resetBaseline();
    if (tokenIntervals.getRecentMs() > targetTokenIntervalMs) {
      acceptTokenInterval();
    }
    atMinimumSinceMs = undefined;
  }

  function adapt(use: SlotUse, startMs: number, nowMs: number): void {
    const slowReason = use.result === "failed"
      ? "A use failed"
      : tryGetSlowReason();
    if (slowReason === undefined) {
      if (!missesTarget(use)) increase(startedMs.size + 1);
    } else if (startMs > lastDecreaseMs) {
      // One slow spell shows in all that was in flight; it counts once.
      if (isSlowRegardlessOfLoad()) acceptTokenInterval();
      else decrease(nowMs, slowReason);
    }
    resetBaselineIfSlowAtMinimum(nowMs);
  }

  return {
    get,
    getState: breaker.getState,
    observeStart(slot, nowMs) {
      startedMs.set(slot, nowMs);
      // A host that died gives nothing back; its slots must not add up here.
      while (startedMs.size > 2 * maxSlots) {
        startedMs.delete(startedMs.keys().next().value!);
      }
    },
    observeEnd(use, nowMs) {
      // A slot from before a change of owner: it began before all known here.
      const startMs = startedMs.get(use.slot) ?? -Infinity;
      startedMs.delete(use.slot);
      // What began before a decrease shows the load before it.
      const isFresh = startMs > lastDecreaseMs;
      if (use.result === "answered" && isFresh) observeLatency(use);
      const slots = Math.floor(limit);
      if (breaker.getState() === "closed") adapt(use, startMs, nowMs);
      const { result } = use;
      breaker.observeEnd({ result, startedMs: startMs, slots }, nowMs);
      reportChange("A use ended");
    },
    observeUnused: (slot) => void startedMs.delete(slot),
    setMaxSlots(value) {
      if (value === maxSlots) return;
      // A limit that nothing had lowered follows the maximum up; one that was
      // earned under load stays, and grows on from there.
      const wasAtMaximum = limit >= maxSlots;
      maxSlots = value;
      limit = wasAtMaximum ? maxSlots : clamp(limit, MIN_SLOTS, maxSlots);
      slowStartThreshold = wasAtMaximum
        ? maxSlots
        : Math.min(slowStartThreshold, maxSlots);
      reportChange("The configuration changed its maximum");
    },
    tick(nowMs) {
      let probeSinceMs: number | undefined;
      for (const ms of startedMs.values()) {
        if (breaker.isProbe(ms)) probeSinceMs ??= ms;
      }
      breaker.tick(probeSinceMs, nowMs);
    },
  };
}
