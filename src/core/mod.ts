/**
 * Helpers that are independent of the domain: assertions, clocks, timers and
 * digests.
 *
 * @module
 */

export * from "./clock.ts";
export * from "./core.ts";
export * from "./hlc.ts";
export * from "./timers.ts";
