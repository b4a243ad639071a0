/**
 * Takes an upstream out when its uses fail one after the other, and probes it
 * for its return with one use at a time.
 *
 * Load: an upstream that stalls or refuses connections under a full backlog.
 * Harm prevented: each freed slot draws the next waiting request into a failure
 * that takes seconds to show, so the upstream eats requests faster than its
 * healthy neighbours serve them.
 *
 * @module
 */

/** Closed: in use. Open: taken out. Half-open: one use probes it. */
export type BreakerState = "closed" | "open" | "half-open";

/** How a use ended, as far as the breaker needs it. */
export interface UseEnd {
  readonly result: "answered" | "failed";
  readonly startedMs: number;
  /** Slots that the upstream had when the use ended. */
  readonly slots: number;
}

/** The state of one upstream as its owner sees it. */
export interface CircuitBreaker {
  getState(): BreakerState;
  /** A use that began at the time given has ended. */
  observeEnd(end: UseEnd, nowMs: number): void;
  /** The probe has been in flight since the time given. */
  tick(probeSinceMs: number | undefined, nowMs: number): void;
  /** Whether a use that began then began after the breaker opened. */
  isProbe(startedMs: number): boolean;
}

/**
 * Failures in a row that open it. One may be the request's own fault, and so
 * may be its retry; three without an answer between them are the upstream's.
 * With fewer slots than that, as many as there are: a stalled upstream that is
 * held to one slot would need three times the silence limit.
 */
const FAILURE_THRESHOLD = 3;

/** First pause before a probe: about the time of a restart of a plain service. */
const INITIAL_OPEN_MS = 1_000;

/** Longest pause: each probe may cost a caller the silence limit of a stream. */
const MAX_OPEN_MS = 16_000;

/**
 * A silent stream is cut after 5 s, so a probe that still runs after this gets
 * tokens. Without this a long answer would hold a sound upstream at one slot.
 */
const PROBE_SUCCESS_MS = 6_000;

/** Makes a closed breaker; `onChange` is told each change with its reason. */
export function createCircuitBreaker(
  onChange: (state: BreakerState, reason: string) => void,
): CircuitBreaker {
  let state: BreakerState = "closed";
  let failures = 0;
  let openMs = INITIAL_OPEN_MS;
  let openedMs = -Infinity;

  function setState(next: BreakerState, reason: string): void {
    state = next;
    onChange(next, reason);
  }

  function open(nowMs: number, reason: string): void {
    openedMs = nowMs;
    setState("open", reason);
  }

  function close(reason: string): void {
    failures = 0;
    openMs = INITIAL_OPEN_MS;
    setState("closed", reason);
  }

  function observeProbe(result: UseEnd["result"], nowMs: number): void {
    if (result === "answered") {
      close("The probe was answered");
      return;
    }
    openMs = Math.min(openMs * 2, MAX_OPEN_MS);
    open(nowMs, "The probe failed");
  }

  return {
    getState: () => state,
    isProbe: (startedMs) => startedMs > openedMs,
    observeEnd({ result, startedMs, slots }, nowMs) {
      switch (state) {
        case "closed":
          failures = result === "failed" ? failures + 1 : 0;
          if (failures < Math.max(1, Math.min(FAILURE_THRESHOLD, slots))) {
            return;
          }
          open(nowMs, `${failures} uses failed in a row`);
          return;
        case "open":
          return;
        case "half-open":
          // What began before the opening ends late and tells nothing new.
          if (startedMs > openedMs) observeProbe(result, nowMs);
          return;
      }
    },
    tick(probeSinceMs, nowMs) {
      if (state === "open" && nowMs - openedMs >= openMs) {
        setState("half-open", `Probed after ${openMs} ms`);
      } else if (
        state === "half-open" && probeSinceMs !== undefined &&
        nowMs - probeSinceMs >= PROBE_SUCCESS_MS
      ) {
        close(`The probe runs for ${PROBE_SUCCESS_MS} ms`);
      }
    },
  };
}
