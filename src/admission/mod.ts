/**
 * Admission of requests to this host, and limits on retries.
 *
 * @module
 */

export * from "./admission.ts";
export * from "./backlog.ts";
export * from "./retry_budget.ts";
export * from "./run_times.ts";
