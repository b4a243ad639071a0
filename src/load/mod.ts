/**
 * The load of the fleet, as hosts tell each other.
 *
 * @module
 */

export * from "./load_reporter.ts";
export * from "./load_view.ts";
export * from "./decaying_rate.ts";
export * from "./team_shares.ts";
export * from "./types.ts";
