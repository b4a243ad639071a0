/**
 * Configuration: the declarative files, the record of accepted versions on the
 * platform, and the version that is in force at this host.
 *
 * @module
 */

export * from "./copy.ts";
export * from "./cross_checks.ts";
export * from "./differences.ts";
export * from "./errors.ts";
export * from "./format_differences.ts";
export * from "./load.ts";
export * from "./poll_period.ts";
export * from "./schema.ts";
export * from "./store.ts";
export * from "./watcher.ts";
