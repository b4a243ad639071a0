/**
 * Calls to model engines and plain services, and what this host observes of
 * them.
 *
 * @module
 */

export * from "./body_framing.ts";
export * from "./health.ts";
export * from "./http_upstreams.ts";
export * from "./state_poll.ts";
export * from "./upstream_locks.ts";
export * from "./types.ts";
export * from "./health_changes.ts";
export * from "./health_watch.ts";
export * from "./backoff_watch.ts";
