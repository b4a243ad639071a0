/**
 * Forwards requests unchanged to upstreams and relays the responses.
 *
 * @module
 */

export * from "./call.ts";
export * from "./request_memory.ts";
export * from "./response_memory.ts";
export * from "./serve.ts";
export * from "./try_connect.ts";
export * from "./types.ts";
export * from "./upstream_agent.ts";
