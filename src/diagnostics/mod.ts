/**
 * Messages, logs and the analysis of logged decisions.
 *
 * @module
 */

export * from "./logger.ts";
export * from "./messages.ts";
export * from "./decision_log.ts";
export * from "./decisions.ts";
export * from "./request_decisions.ts";
export * from "./upstream_decisions.ts";
export * from "./platform_decisions.ts";
export * from "./host_decisions.ts";
export * from "./decision_lines.ts";
export * from "./describe_decision.ts";
export * from "./request_trace.ts";
export * from "./runtime_watch.ts";
