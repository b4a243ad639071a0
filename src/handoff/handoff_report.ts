/**
 * Sums up the handoffs of each second for the log, since a line for each
 * connection would cost an overloaded host more than the connection.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";

/** The handoffs of one second, by outcome. */
export interface HandoffCounts<Outcome extends string> {
  readonly counts: Readonly<Record<Outcome, number>>;
  /** The other hosts of all but the refused and unanswered ones. */
  readonly others: readonly string[];
}

/** Counts handoffs until the second is over. */
export interface HandoffReport<Outcome extends string> {
  count(other: string, outcome: Outcome): void;
  /** Called by a timer, many times per second. */
  tick(): void;
}

/** Interval between two log lines, in ms. */
const REPORT_INTERVAL_MS = 1_000;

/**
 * Creates a report with these outcomes. `onReport` is called at most once per
 * second, and only if there were handoffs.
 */
export function createHandoffReport<Outcome extends string>(
  clock: Clock,
  outcomes: readonly Outcome[],
  onReport: (counts: HandoffCounts<Outcome>) => void,
): HandoffReport<Outcome> {
  const createCounts = () =>
    Object.fromEntries(outcomes.map((each) => [each, 0])) as Record<
      Outcome,
      number
    >;
  let counts = createCounts();
  const others = new Set<string>();
  let isEmpty = true;
  let reportedMs = -Infinity;

  return {
    count(other, outcome) {
      isEmpty = false;
      counts[outcome]++;
      if (!isFailed(outcome)) others.add(other);
    },
    tick() {
      if (isEmpty) return;
      const nowMs = clock.monotonicMs();
      if (nowMs - reportedMs < REPORT_INTERVAL_MS) return;
      reportedMs = nowMs;
      onReport({ counts, others: [...others].sort() });
      counts = createCounts();
      others.clear();
      isEmpty = true;
    },
  };
}

function isFailed(outcome: string): boolean {
  return outcome === "refused" || outcome === "unreachable";
}
