/**
 * Distributes the slots of upstreams: the owner of an upstream grants its
 * slots, and entry hosts request, hold and release them.
 *
 * @module
 */

export * from "./pick.ts";
export * from "./slot_client.ts";
export * from "./slot_owner.ts";
export * from "./types.ts";
export * from "./waiting_teams.ts";
