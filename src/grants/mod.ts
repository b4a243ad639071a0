/**
 * Grants by which the owner of an upstream admits the prompts of all hosts to
 * it, one after the other.
 *
 * @module
 */

export * from "./grant_client.ts";
export * from "./grant_outbox.ts";
export * from "./grant_owner.ts";
export * from "./owners.ts";
export * from "./types.ts";
