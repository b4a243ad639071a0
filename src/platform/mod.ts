/**
 * Interfaces to the platform's table service, object store, machine list and
 * weight store, and their client over HTTP.
 *
 * @module
 */

export * from "./http_platform.ts";
export * from "./parse_json.ts";
export * from "./types.ts";
