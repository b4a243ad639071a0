/**
 * Event streams of engines: read without gaps or repeated events, resumable at
 * any host, and cancelled after their callers have disconnected.
 *
 * @module
 */

export * from "./abandon_stream.ts";
export * from "./follow_stream.ts";
export * from "./token.ts";
