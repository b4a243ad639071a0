/**
 * Checks a history against all promises.
 *
 * @module
 */

import {
  checkConfigInTime,
  checkConfigNeverReverts,
  checkLeavingUpstreams,
  checkOneOperatorWins,
  checkOrders,
} from "./check_control.ts";
import {
  checkAlwaysEnded,
  checkAtMostOnce,
  checkCompleteAnswers,
  checkCrashes,
  checkDrains,
  checkFairness,
  checkNotRun,
} from "./check_requests.ts";
import type {
  Observation,
  PromiseLimits,
  PromiseName,
  Violation,
} from "./types.ts";

/** Finds all violations of a history, in the order of time. */
export function checkHistory(
  history: readonly Observation[],
  limits: PromiseLimits,
): readonly Violation[] {
  const ordered = [...history].sort((a, b) => a.atMs - b.atMs);
  const violations = [
    ...checkAtMostOnce(ordered),
    ...checkNotRun(ordered),
    ...checkCompleteAnswers(ordered),
    ...checkAlwaysEnded(ordered),
    ...checkDrains(ordered),
    ...checkCrashes(ordered, limits),
    ...checkFairness(ordered),
    ...checkConfigNeverReverts(ordered),
    ...checkConfigInTime(ordered, limits),
    ...checkOneOperatorWins(ordered),
    ...checkLeavingUpstreams(ordered, limits),
    ...checkOrders(ordered),
  ];
  return violations.sort((a, b) => a.atMs - b.atMs);
}

/** Counts the violations of each promise; promises without any are absent. */
export function countByPromise(
  violations: readonly Violation[],
): Readonly<Partial<Record<PromiseName, number>>> {
  const counts: Partial<Record<PromiseName, number>> = {};
  for (const { promise } of violations) {
    counts[promise] = (counts[promise] ?? 0) + 1;
  }
  return counts;
}

/** Counts the ended requests by outcome. */
export function countByOutcome(
  history: readonly Observation[],
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const each of history) {
    if (each.kind !== "request-ended") continue;
    counts[each.outcome] = (counts[each.outcome] ?? 0) + 1;
  }
  return counts;
}
