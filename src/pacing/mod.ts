/**
 * Limits how many tokens an upstream may have to prefill at once; the limits
 * are learned at run time.
 *
 * @module
 */

export * from "./first_event_model.ts";
export * from "./pacing.ts";
export * from "./pause_limit.ts";
export * from "./types.ts";
