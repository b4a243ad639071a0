/**
 * Handoff of new connections from an overloaded host to a neighbouring host.
 *
 * @module
 */

export type { LoopTimes } from "./event_loop_utilization.ts";
export * from "./handoff.ts";
export type {
  AttemptOutcome,
  ReceivedOutcome,
  ReturnCause,
} from "./protocol.ts";
