/**
 * Upstreams that have just started: which they are, and how many requests the
 * fleet sends them until they are warm.
 *
 * @module
 */

export * from "./cold_upstreams.ts";
export * from "./types.ts";
export * from "./warm_up_part.ts";
export * from "./warm_ups.ts";
