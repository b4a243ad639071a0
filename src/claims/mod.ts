/**
 * Ensures that a request runs at most once per idempotency key.
 *
 * @module
 */

export * from "./claims.ts";
export * from "./group_commit.ts";
export * from "./types.ts";
