/**
 * Membership of the fleet, and the choice of owners by rendezvous hashing.
 *
 * @module
 */

export * from "./membership.ts";
export * from "./rendezvous.ts";
export * from "./types.ts";
