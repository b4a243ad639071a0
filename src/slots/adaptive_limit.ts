/**
 * Adaptive concurrency limit of an upstream: how many requests it may have in
 * flight, derived from the time to first byte, the time between tokens and the
 * failures of its own requests. The limit increases additively while latency is
 * normal and decreases multiplicatively when the upstream slows down; a circuit
 * breaker stops requests when they fail.
 *
 * Load: one upstream becomes ten times slower, then stalls, then recovers,
 * while every team has a backlog. Failure prevented: requests pile up at that
 * upstream while others have free slots, or an engine serves so many streams at
 * once that none of them meets the target for the time between tokens. The
 * upstream's own load report is seconds old, so it is not used here.
 *
 * @module
 */

import { clamp, dropOldest } from "../core/mod.ts";
import { type BreakerState, createCircuitBreaker } from "./circuit_breaker.ts";
import { createLatencyTracker } from "./latency_tracker.ts";

/** Options of an adaptive limit. */
export interface AdaptiveLimitOptions {
  /** Configured maximum; the upstream's memory does not suffice for more. */
  readonly maxSlots: number;
  /** Called at each change of the limit, with its reason. */
  readonly onChange?: (limit: number, reason: string) => void;
}

/** How a request that used a slot ended. */
export interface SlotUse {
  readonly slot: number;
  readonly result: "answered" | "failed";
  /** Time to the first byte, in ms; 0 when none was received. */
  readonly firstByteMs: number;
  /** Mean time between two tokens, in ms; 0 when there were fewer than two. */
  readonly tokenIntervalMs: number;
}

/** Adaptive limit of one upstream. */
export interface AdaptiveLimit {
  /**
   * Slots that may currently be in use; 0 while the circuit breaker is open.
   */
  get(): number;
  getState(): BreakerState;
  /** Records that a slot was granted. */
  observeStart(slot: number, nowMs: number): void;
  /** Records that a request ended and its slot was released. */
  observeEnd(use: SlotUse, nowMs: number): void;
  /** Records that a slot was released unused. */
  observeUnused(slot: number): void;
  /** Applies a changed maximum of the configuration. */
  setMaxSlots(maxSlots: number): void;
  /**
   * Called periodically, so that the breaker sends a probe when its time has
   * come.
   */
  tick(nowMs: number): void;
}

/** One slot always remains, so that recovery is detected. */
const MIN_SLOTS = 1;

/**
 * An upstream that is slower than its baseline by this factor queues requests
 * internally. A mix of long and short prompts moves the average of 16 requests
 * by less.
 */
const SLOWDOWN_THRESHOLD = 3;

/** Target for the time between two tokens, to be met by 95 of 100 requests. */
const TOKEN_INTERVAL_TARGET_MS = 31;

/**
 * An engine is considered slow regardless of its load when two successive
 * decreases, which halve its streams, reduce the time between tokens by less
 * than a tenth. A single decrease might be judged by streams that started
 * before it.
 */
const INEFFECTIVE_RATIO = 0.9;
const MAX_INEFFECTIVE_DECREASES = 2;

/**
 * The target of an engine that is slow regardless of load: its own time between
 * tokens, times this.
 */
const TOKEN_INTERVAL_SLACK = 1.2;

/** Weight of the newest request in the rate of missed targets: 1 in 20. */
const MISS_RATE_WEIGHT = 0.05;

/**
 * Highest accepted rate of missed targets: about two misses in 20 requests
 * exceed it, since 95 of 100 requests are to meet the target.
 */
const MAX_MISS_RATE = 0.08;

/**
 * Factor of one decrease. It is moderate, since another decrease follows if
 * needed.
 */
const DECREASE_FACTOR = 0.7;

/**
 * An upstream that stays slow with one request in flight is not slow because of
 * its load. After this time its latency becomes its new baseline.
 */
const BASELINE_RESET_MS = 60_000;

/**
 * Successive decreases that did not reduce the time between tokens, and the
 * limit before the first of them.
 */
interface IneffectiveDecreases {
  readonly count: number;
  readonly tokenIntervalMs: number;
  readonly limit: number;
}

/** Creates a limit that starts at the configured maximum. */
export function createAdaptiveLimit(
  options: AdaptiveLimitOptions,
): AdaptiveLimit {
  let { maxSlots } = options;
  const firstByteLatency = createLatencyTracker();
  const tokenIntervals = createLatencyTracker();
  const startedMs = new Map<number, number>();
  let limit = maxSlots;
  let doublingLimit = maxSlots;
  let missRate = 0;
  let tokenTargetMs = TOKEN_INTERVAL_TARGET_MS;
  let ineffective: IneffectiveDecreases | undefined;
  let lastDecreaseMs = -Infinity;
  let atMinimumSinceMs: number | undefined;
  let reportedLimit = maxSlots;

  const breaker = createCircuitBreaker((state, reason) => {
    // A recovered upstream restarts with the minimum; the limit then increases.
    if (state === "closed") limit = MIN_SLOTS;
    if (state === "open") doublingLimit = Math.max(doublingLimit, limit / 2);
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
        // Requests from before the opening that have not ended keep their
        // slots; one more slot is for the probe.
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
    return use.tokenIntervalMs > tokenTargetMs;
  }

  function tryGetSlowReason(): string | undefined {
    const slowdown = firstByteLatency.getSlowdown();
    if (slowdown > SLOWDOWN_THRESHOLD) {
      return `Time to first byte is ${slowdown.toFixed(1)} times the baseline`;
    }
    if (missRate <= MAX_MISS_RATE) return undefined;
    const recentMs = tokenIntervals.getRecentMs().toFixed(0);
    return `Time between tokens (${recentMs} ms) misses its target too often`;
  }

  /**
   * Whether the last decreases had too little effect on the time between
   * tokens. In that case the engine is not slow because of its load, and
   * reducing its streams further would waste it.
   */
  function isSlowRegardlessOfLoad(): boolean {
    if (missRate <= MAX_MISS_RATE) return false;
    const tokenIntervalMs = tokenIntervals.getRecentMs();
    ineffective ??= { count: -1, tokenIntervalMs: 0, limit };
    const isIneffective = tokenIntervalMs > tokenTargetMs &&
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
    tokenTargetMs = Math.max(TOKEN_INTERVAL_TARGET_MS, slackMs);
    limit = Math.max(limit, ineffective?.limit ?? 0);
    ineffective = undefined;
    missRate = 0;
    reportChange(
      "Time between tokens exceeds the target regardless of load",
    );
  }

  function decrease(nowMs: number, reason: string): void {
    lastDecreaseMs = nowMs;
    missRate = 0;
    if (limit >= doublingLimit) doublingLimit = Math.max(MIN_SLOTS, limit / 2);
    // The decrease starts from the requests in flight: lowering a limit that
    // was never reached would have no effect.
    const inFlight = Math.max(1, startedMs.size + 1);
    limit = Math.min(limit, Math.max(MIN_SLOTS, inFlight)) * DECREASE_FACTOR;
    limit = clamp(limit, MIN_SLOTS, maxSlots);
    if (limit === MIN_SLOTS) atMinimumSinceMs ??= nowMs;
    reportChange(reason);
  }

  function increase(inFlight: number): void {
    atMinimumSinceMs = undefined;
    ineffective = undefined;
    // Only a limit that was nearly reached has shown that the upstream can bear
    // it.
    if (inFlight < limit / 2) return;
    // Below `doublingLimit`, half of the limit before the last slowdown, the
    // limit doubles with each round of requests (slow start); above it, the
    // limit grows by one with each round.
    limit += limit < doublingLimit ? 1 : 1 / limit;
    limit = clamp(limit, MIN_SLOTS, maxSlots);
    reportChange("Latency is normal");
  }

  function resetBaselineIfSlowAtMinimum(nowMs: number): void {
    if (atMinimumSinceMs === undefined) return;
    if (nowMs - atMinimumSinceMs < BASELINE_RESET_MS) return;
    firstByteLatency.resetBaseline();
    if (tokenIntervals.getRecentMs() > tokenTargetMs) acceptTokenInterval();
    atMinimumSinceMs = undefined;
  }

  function adapt(use: SlotUse, startMs: number, nowMs: number): void {
    const slowReason = use.result === "failed"
      ? "A request failed"
      : tryGetSlowReason();
    if (slowReason === undefined) {
      if (!missesTarget(use)) increase(startedMs.size + 1);
    } else if (startMs > lastDecreaseMs) {
      // A slowdown affects all requests in flight; it counts once.
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
      // A dead host never releases its slots; they must not accumulate here.
      dropOldest(startedMs, 2 * maxSlots);
    },
    observeEnd(use, nowMs) {
      // An unknown slot was granted by a previous owner, so its request started
      // before all that are known here.
      const startMs = startedMs.get(use.slot) ?? -Infinity;
      startedMs.delete(use.slot);
      // A request that started before the last decrease reflects the load
      // before it.
      const isFresh = startMs > lastDecreaseMs;
      if (use.result === "answered" && isFresh) observeLatency(use);
      const slots = Math.floor(limit);
      if (breaker.getState() === "closed") adapt(use, startMs, nowMs);
      const { result } = use;
      breaker.observeEnd({ result, startedMs: startMs, slots }, nowMs);
      reportChange("A request ended");
    },
    observeUnused: (slot) => void startedMs.delete(slot),
    setMaxSlots(value) {
      if (value === maxSlots) return;
      // A limit at the maximum follows a raised maximum. A limit that was
      // lowered under load stays and increases from there.
      const wasAtMaximum = limit >= maxSlots;
      maxSlots = value;
      limit = wasAtMaximum ? maxSlots : clamp(limit, MIN_SLOTS, maxSlots);
      doublingLimit = wasAtMaximum
        ? maxSlots
        : Math.min(doublingLimit, maxSlots);
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
