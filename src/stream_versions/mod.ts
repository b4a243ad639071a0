/**
 * Finds at which software version a stream began that a caller takes up.
 *
 * @module
 */

export * from "./stream_versions.ts";
export * from "./types.ts";
export { STREAM_KEY_PREFIX, VERSION_KEY_PREFIX } from "./version_facts.ts";
