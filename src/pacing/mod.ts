/**
 * Limits how many tokens an upstream may have to prefill at once; the limits
 * are learned at run time.
 *
 * @module
 */

export * from "./first_event_model.ts";
export * from "./pacing.ts";
export * from "./pause_limit.ts";
export * from "./relative_speed.ts";
export * from "./types.ts";
export * from "./upstream_pacing.ts";
export * from "./upstream_stats.ts";
export * from "./weight_step.ts";
