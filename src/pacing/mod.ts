/**
 * How much upstreams may be given to read at once, learned while serving.
 *
 * @module
 */

export * from "./first_event_model.ts";
export * from "./pacing.ts";
export * from "./pause_limit.ts";
export * from "./types.ts";
