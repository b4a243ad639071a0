/**
 * Checks of recorded histories against the promises of the system, and traces
 * of histories that can be replayed.
 *
 * @module
 */

export * from "./checker.ts";
export * from "./trace.ts";
export * from "./types.ts";
