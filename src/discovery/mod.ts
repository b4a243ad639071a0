/**
 * How the entry hosts read the platform's tables and distribute them among
 * themselves.
 *
 * @module
 */

export * from "./evacuations.ts";
export * from "./leaving_instances.ts";
export * from "./table_copies.ts";
export * from "./table_distribution.ts";
export * from "./positions.ts";
export * from "./reader_selection.ts";
export * from "./table_replica.ts";
export * from "./table_fetches.ts";
export * from "./table_follower.ts";
export * from "./table_read.ts";
export * from "./types.ts";
export * from "./upstream_directory.ts";
