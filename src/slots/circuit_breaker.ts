/**
 * Circuit breaker: stops sending requests to an upstream when they fail one
 * after the other, and probes the upstream with one request at a time.
 *
 * Load: an upstream stalls or refuses connections while every team has a
 * backlog. Failure prevented: each freed slot sends the next waiting request
 * into a failure that takes seconds to detect, so the failing upstream consumes
 * requests faster than healthy upstreams serve them.
 *
 * @module
 */

/**
 * Closed: requests are sent. Open: none are sent. Half-open: one request probes
 * the upstream.
 */
export type BreakerState = "closed" | "open" | "half-open";

/** How a request that used a slot ended. */
export interface UseEnd {
  readonly result: "answered" | "failed";
  readonly startedMs: number;
  /** Slots that the upstream had when the request ended. */
  readonly slots: number;
}

/** Circuit breaker of one upstream, at the upstream's owner. */
export interface CircuitBreaker {
  getState(): BreakerState;
  /** Records the end of a request. */
  observeEnd(end: UseEnd, nowMs: number): void;
  /**
   * Changes the state when its time has passed; `probeSinceMs` is the start of
   * the probe in flight.
   */
  tick(probeSinceMs: number | undefined, nowMs: number): void;
  /**
   * Whether a request that started at the given time started after the breaker
   * opened.
   */
  isProbe(startedMs: number): boolean;
}

/**
 * Consecutive failures that open the breaker. One failure may be caused by the
 * request itself, and so may the failure of its retry; three without a success
 * between them are caused by the upstream. An upstream with fewer slots needs
 * only as many failures as it has slots: with a single slot, three failures at
 * a stalled upstream take three times the time-out of a silent stream.
 */
const FAILURE_LIMIT = 3;

/** Time before the first probe: about the restart time of a plain service. */
const INITIAL_OPEN_MS = 1_000;

/**
 * Longest time before a probe. Each probe may cost a caller the time-out of a
 * silent stream.
 */
const MAX_OPEN_MS = 16_000;

/**
 * A silent stream is cut off after 5 s, so a probe that still runs after this
 * time receives tokens. Without this rule a long answer would hold a healthy
 * upstream at one slot.
 */
const PROBE_SUCCESS_MS = 6_000;

/**
 * Creates a closed circuit breaker; `onChange` receives each change of state
 * with its reason.
 */
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
      close("The probe succeeded");
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
          if (failures < Math.max(1, Math.min(FAILURE_LIMIT, slots))) return;
          open(nowMs, `${failures} requests failed in a row`);
          return;
        case "open":
          return;
        case "half-open":
          // A request from before the opening ends late and carries no new
          // information.
          if (startedMs > openedMs) observeProbe(result, nowMs);
          return;
      }
    },
    tick(probeSinceMs, nowMs) {
      if (state === "open" && nowMs - openedMs >= openMs) {
        setState("half-open", `Probing after ${openMs} ms`);
      } else if (
        state === "half-open" && probeSinceMs !== undefined &&
        nowMs - probeSinceMs >= PROBE_SUCCESS_MS
      ) {
        close(`The probe has been running for ${PROBE_SUCCESS_MS} ms`);
      }
    },
  };
}
