/**
 * Reports when an upstream starts or stops counting as unhealthy at this host.
 * Only reports: nothing is decided by it.
 *
 * Load: an upstream that fails half of its requests changes sides with each of
 * them, and a lost data centre changes that of all its upstreams at once. So
 * there is a limit on reports per second. A change above it is reported later,
 * unless the upstream has changed back by then.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";

/**
 * Why other upstreams are preferred: a connection failed, nothing has come for
 * requests in flight, or too large a share of the latest requests failed.
 */
export type UnhealthyReason = "unreachable" | "silent" | "failures";

/** What a host observes of an upstream, as in the report of a change. */
export interface HealthObservation {
  /** Requests of this host in flight there. */
  readonly inFlight: number;
  /** Time since bytes of a response arrived or the only request began. */
  readonly silentMs: number;
  /** Share of the latest requests that failed. */
  readonly failureShare: number;
}

/** An upstream has started or stopped counting as unhealthy. */
export interface HealthChange extends HealthObservation {
  readonly upstream: string;
  readonly isHealthy: boolean;
  /** The reason of the unhealthy state that starts or ends here. */
  readonly because: UnhealthyReason;
  /** Time since the start was reported; absent at the start. */
  readonly lastedMs: number | undefined;
}

/** Compares what an upstream counts as with what was reported of it. */
export interface HealthChanges {
  /** Takes the reason why the upstream is unhealthy; `undefined` if it isn't. */
  observe(
    upstream: string,
    because: UnhealthyReason | undefined,
    getObservation: () => HealthObservation,
  ): void;
  /** Whether the upstream was last reported as unhealthy. */
  isReportedUnhealthy(upstream: string): boolean;
}

/** Limit on reports per second, over all upstreams of a host. */
export const MAX_REPORTS_PER_SECOND = 10;

/** Creates the reporter of a host for which all upstreams are healthy. */
export function createHealthChanges(
  clock: Clock,
  onChange: (change: HealthChange) => void,
): HealthChanges {
  const unhealthy = new Map<
    string,
    { readonly because: UnhealthyReason; readonly sinceMs: number }
  >();
  let secondStartedMs = -Infinity;
  let reports = 0;

  function tryTakeReport(nowMs: number): boolean {
    if (nowMs - secondStartedMs >= 1_000) {
      secondStartedMs = nowMs;
      reports = 0;
    }
    reports++;
    return reports <= MAX_REPORTS_PER_SECOND;
  }

  return {
    isReportedUnhealthy: (upstream) => unhealthy.has(upstream),
    observe(upstream, because, getObservation) {
      const reported = unhealthy.get(upstream);
      if ((because === undefined) === (reported === undefined)) return;
      const nowMs = clock.monotonicMs();
      if (!tryTakeReport(nowMs)) return;
      const change = { upstream, ...getObservation() };
      if (because !== undefined) {
        unhealthy.set(upstream, { because, sinceMs: nowMs });
        onChange({ ...change, isHealthy: false, because, lastedMs: undefined });
      } else {
        unhealthy.delete(upstream);
        const { because, sinceMs } = reported!;
        const lastedMs = nowMs - sinceMs;
        onChange({ ...change, isHealthy: true, because, lastedMs });
      }
    },
  };
}
