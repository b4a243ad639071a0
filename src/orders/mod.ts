/**
 * Reconciles upstreams with their declared model and role by orders that are
 * protected by fenced leases.
 *
 * @module
 */

export * from "./next_order.ts";
export * from "./lease.ts";
export * from "./order_client.ts";
export * from "./order_reconciler.ts";
export * from "./reservations.ts";
export * from "./types.ts";
