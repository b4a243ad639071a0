/**
 * What a node of the tree of counters remembers of each child.
 *
 * @module
 */

/** One child. */
export interface ChildState {
  session: number;
  /** Sessions that are over; a report of theirs that comes late adds nothing. */
  endedSessions: readonly number[];
  sequence: number;
  lastReportMs: number;
  /** Sums of the session, by team. */
  readonly amounts: Map<string, number>;
  readonly backlogged: Set<string>;
}

/**
 * A child that was silent for so long has no backlog any more: it found another
 * parent, or it is dead and the membership will say so. Children report at
 * least every two seconds.
 */
export const CHILD_TIMEOUT_MS = 6_000;

/** Makes a child that was never heard. */
export function createChildState(): ChildState {
  return {
    session: 0,
    endedSessions: [],
    sequence: 0,
    lastReportMs: 0,
    amounts: new Map(),
    backlogged: new Set(),
  };
}

/** Whether the child has told that the team is backlogged there. */
export function isBackloggedAtChild(
  child: ChildState,
  team: string,
  nowMs: number,
): boolean {
  return nowMs - child.lastReportMs < CHILD_TIMEOUT_MS &&
    child.backlogged.has(team);
}
