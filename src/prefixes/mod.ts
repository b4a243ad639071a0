/**
 * The directory of shared prefixes: which upstreams were sent prompts with them,
 * as hosts announce it to each other.
 *
 * @module
 */

export * from "./placement_announcer.ts";
export * from "./prefix_directory.ts";
export * from "./prefix_placements.ts";
export * from "./types.ts";
