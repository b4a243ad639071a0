/**
 * Forwards requests unchanged to upstreams and relays the responses.
 *
 * @module
 */

export * from "./call.ts";
export * from "./held_memory.ts";
export * from "./incarnation_proofs.ts";
export * from "./pipelined_requests.ts";
export * from "./read_report.ts";
export * from "./serve.ts";
export * from "./try_connect.ts";
export * from "./types.ts";
export * from "./upstream_agent.ts";
