/**
 * Quarantine of content that crashes upstreams: it is refused by the whole
 * fleet.
 *
 * @module
 */

export * from "./quarantine.ts";
export * from "./records.ts";
export * from "./types.ts";
