/**
 * Helpers that are independent of the domain: assertions, clocks, timers, digests,
 * ports and the start of servers.
 *
 * @module
 */

export * from "./clock.ts";
export * from "./core.ts";
export * from "./hlc.ts";
export * from "./listen.ts";
export * from "./ports.ts";
export * from "./timers.ts";
