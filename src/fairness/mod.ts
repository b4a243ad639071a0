/**
 * Fair sharing of each service among the teams, over the whole fleet.
 *
 * @module
 */

export * from "./cost_estimate.ts";
export * from "./counters.ts";
export * from "./types.ts";
