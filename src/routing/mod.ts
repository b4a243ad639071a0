/**
 * Which route, service and team a request belongs to.
 *
 * @module
 */

export * from "./route_table.ts";
export * from "./types.ts";
