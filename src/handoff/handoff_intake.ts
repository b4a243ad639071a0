/**
 * Decides whether this host, as the target, takes a connection that another
 * host hands off.
 *
 * Load: many overloaded hosts hand connections off to few idle ones. Failure
 * prevented: a target that takes all of them is overloaded itself, and the
 * requests of its own callers are read late. The gap between the limit here and
 * the one above which a host hands off keeps hosts of medium load out of both.
 *
 * @module
 */

/** What a target knows of itself. */
export interface TargetState {
  /** Utilization of its event loop, from 0 to 1. */
  readonly utilization: number;
  readonly isDraining: boolean;
  /** Whether it has received a configuration. */
  readonly isConfigured: boolean;
  /** Handed-off connections that it serves at present. */
  readonly open: number;
  /** Maximum number of them. */
  readonly maxOpen: number;
}

/** Utilization up to which a host takes connections from other hosts. */
const MAX_TARGET_UTILIZATION = 0.6;

/** Whether the target takes another connection. */
export function mayTakeConnection(state: TargetState): boolean {
  return state.utilization <= MAX_TARGET_UTILIZATION && !state.isDraining &&
    state.isConfigured && state.open < state.maxOpen;
}
