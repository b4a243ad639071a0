/**
 * The start of a process: signals that come before it can handle them, and
 * what it waits for.
 *
 * @module
 */

export * from "./signal_record.ts";
export * from "./start_waits.ts";
export * from "./settings_file.ts";
