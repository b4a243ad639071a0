/**
 * Finds the contents that crash upstreams, over the whole fleet, and blocks
 * them.
 *
 * @module
 */

export type { ConnectResult } from "./crash_detector.ts";
export * from "./crash_facts.ts";
export * from "./crash_watch.ts";
export * from "./subjects.ts";
export * from "./types.ts";
