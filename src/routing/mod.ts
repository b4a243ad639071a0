/**
 * Finds the route, the service and the team of a request.
 *
 * @module
 */

export * from "./allowed_regions.ts";
export * from "./route_table.ts";
export * from "./types.ts";
