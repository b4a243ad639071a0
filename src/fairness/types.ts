/**
 * Messages between the nodes of the tree of service counters.
 *
 * @module
 */

/** The service of one team in a report or a view. */
export interface TeamService {
  readonly team: string;
  /**
   * Service divided by the team's weight. In a report: the sum since the
   * session began. In a view: the sum over the fleet.
   */
  readonly amount: number;
  /**
   * Whether the team has requests waiting. In a report: in the child's subtree.
   * In a view: anywhere, as far as the parent knows.
   */
  readonly backlogged: boolean;
  /** In a report: least value for the parent's sum; zero for none. */
  readonly floor: number;
}

/** Message from a child to its parent. */
export interface CounterReport {
  readonly sequence: number;
  /** Number chosen by the child; each new parent gets a new session. */
  readonly session: number;
  /** True until the parent has answered in this session. */
  readonly first: boolean;
  /** Largest service of one request so far, divided by the weight. */
  readonly largest: number;
  readonly teams: readonly TeamService[];
}

/** Reply of a parent to a report of its child. */
export interface CounterView {
  readonly session: number;
  /** Highest sequence number of the reports that the sums contain. */
  readonly acked: number;
  /**
   * True: the parent does not know the session; the child must start a new one.
   */
  readonly reset: boolean;
  readonly virtualTime: number;
  readonly largest: number;
  readonly teams: readonly TeamService[];
}
