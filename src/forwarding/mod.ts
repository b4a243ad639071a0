/**
 * Forwards requests as they are to upstreams, and their answers back.
 *
 * @module
 */

export * from "./call.ts";
export * from "./crash_watch.ts";
export * from "./serve.ts";
export * from "./types.ts";
export * from "./upstream_agent.ts";
