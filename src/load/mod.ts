/**
 * The load of the fleet on its upstreams, as hosts report it to each other.
 *
 * @module
 */

export * from "./aggregation_tree.ts";
export * from "./load_reporter.ts";
export * from "./load_view.ts";
export * from "./decaying_rate.ts";
export * from "./team_service.ts";
export * from "./team_shares.ts";
export * from "./types.ts";
export * from "./upstream_stats_reporter.ts";
export * from "./upstream_stats_totals.ts";
