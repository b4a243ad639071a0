/**
 * Handoff of new connections from an overloaded host to a neighbouring host.
 *
 * @module
 */

export * from "./event_loop_utilization.ts";
export * from "./handoff.ts";
export * from "./handoff_intake.ts";
export * from "./handoff_policy.ts";
export { MAX_HANDOFF_ATTEMPTS } from "./negotiation.ts";
export {
  type AttemptOutcome,
  CALLER_ABANDON_MS,
  type ReceivedOutcome,
  type ReturnCause,
} from "./protocol.ts";
