/**
 * Where admitted requests wait for a slot.
 *
 * @module
 */

export * from "./prompt_queue.ts";
export * from "./team_queue.ts";
export * from "./types.ts";
