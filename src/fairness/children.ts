/**
 * State that a node of the tree of service counters keeps of each child.
 *
 * @module
 */

/** State of one child. */
export interface ChildState {
  session: number;
  /** Sessions that have ended; late reports of them are ignored. */
  endedSessions: readonly number[];
  sequence: number;
  lastReportMs: number;
  /** Service reported in the session, by team. */
  readonly amounts: Map<string, number>;
  readonly backlogged: Set<string>;
}

/**
 * A child without a report for this long is taken to have no backlog: it has
 * another parent, or it is dead and membership will report so. Children report
 * at least every two seconds.
 */
export const CHILD_TIMEOUT_MS = 6_000;

/** Creates the state of a child without any report. */
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

/** Whether the child's last report says that the team is backlogged there. */
export function isBackloggedAtChild(
  child: ChildState,
  team: string,
  nowMs: number,
): boolean {
  return nowMs - child.lastReportMs < CHILD_TIMEOUT_MS &&
    child.backlogged.has(team);
}
