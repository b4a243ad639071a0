/**
 * Queues of admitted requests that wait for an upstream.
 *
 * @module
 */

export * from "./load_functions.ts";
export * from "./prompt_queue.ts";
export * from "./prompt_queue_options.ts";
export * from "./team_queue.ts";
export * from "./types.ts";
