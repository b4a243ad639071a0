/**
 * Helpers that are independent of the domain: assertions, clocks, timers, digests,
 * ports, the start of servers and the release of what was opened.
 *
 * @module
 */

export * from "./clock.ts";
export * from "./core.ts";
export * from "./dispose.ts";
export * from "./hlc.ts";
export * from "./http_requests.ts";
export * from "./listen.ts";
export * from "./ports.ts";
export * from "./timers.ts";
