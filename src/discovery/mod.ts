/**
 * What the entry hosts learn from the platform, and how they pass it on.
 *
 * @module
 */

export * from "./leaving_instances.ts";
export * from "./table_distribution.ts";
export * from "./positions.ts";
export * from "./reader_selection.ts";
export * from "./table_replica.ts";
export * from "./table_follower.ts";
export * from "./types.ts";
export * from "./upstream_directory.ts";
