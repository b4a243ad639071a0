/**
 * Event streams of engines: read without gaps or repeated events, resumable at
 * any host, and cancelled after their callers have disconnected.
 *
 * @module
 */

export * from "./cancel_abandoned_stream.ts";
export * from "./follow_stream.ts";
export * from "./token.ts";
