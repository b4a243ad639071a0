/**
 * Ranks the upstreams on which a request may run.
 *
 * @module
 */

export * from "./eligibility.ts";
export * from "./placement.ts";
export * from "./least_loaded.ts";
export * from "./prefix_affinity.ts";
export * from "./prefill_tokens.ts";
export * from "./prefix_fetch.ts";
export * from "./prompt_ranking.ts";
