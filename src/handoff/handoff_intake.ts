/**
 * Decides whether this host, as the target, takes a connection that another
 * host hands off.
 *
 * Load: many overloaded hosts hand connections off to few idle ones, or one
 * overloaded host to neighbours that are busy as well. Failures prevented: a
 * target that takes all connections is overloaded itself, and the requests of its
 * own callers are read late; a host that can't accept all connections of a team
 * keeps them, as all neighbours are above a fixed limit. A target therefore
 * compares its load with that of the origin.
 *
 * @module
 */

import { MIN_ORIGIN_UTILIZATION } from "./handoff_policy.ts";

/** What a target knows of itself and of the origin. */
export interface TargetState {
  /** Utilization of its event loop, from 0 to 1. */
  readonly utilization: number;
  /** The same of the origin; `undefined` if it does not tell. */
  readonly originUtilization: number | undefined;
  readonly isDraining: boolean;
  /** Whether it has received a configuration. */
  readonly isConfigured: boolean;
  /** Handed-off connections that it serves at present. */
  readonly open: number;
  /** Maximum number of them. */
  readonly maxOpen: number;
}

/**
 * By how much a target must be less busy than the origin. A relay takes a part of
 * what it takes to serve the connection.
 */
const MIN_DIFFERENCE = 0.1;

/** Whether the target takes another connection. */
export function mayTakeConnection(state: TargetState): boolean {
  const { originUtilization = MIN_ORIGIN_UTILIZATION } = state;
  return state.utilization <= originUtilization - MIN_DIFFERENCE &&
    !state.isDraining && state.isConfigured && state.open < state.maxOpen;
}
