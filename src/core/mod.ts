/**
 * Helpers without knowledge of the domain: assertions, clocks, digests.
 *
 * @module
 */

export * from "./clock.ts";
export * from "./core.ts";
export * from "./hlc.ts";
export * from "./timers.ts";
