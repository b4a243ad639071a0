/**
 * Membership of the fleet, and the choice of owners by rendezvous hashing.
 *
 * @module
 */

export * from "./membership.ts";
export * from "./membership_types.ts";
export * from "./rendezvous.ts";
export * from "./types.ts";
