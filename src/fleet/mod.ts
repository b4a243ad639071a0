/**
 * Coordination of slots and service counters between the hosts of the fleet.
 *
 * @module
 */

export * from "./counter_exchange.ts";
export * from "./fleet.ts";
export {
  CROSS_REGION_PENALTY_REQUESTS,
  TAKEOVER_MS,
} from "./owned_upstreams.ts";
export * from "./types.ts";
