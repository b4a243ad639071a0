/**
 * How the hosts of the fleet act together on slots and counters.
 *
 * @module
 */

export * from "./counter_exchange.ts";
export * from "./fleet.ts";
export {
  CROSS_REGION_PENALTY_REQUESTS as FAR_PENALTY_REQUESTS,
  TAKEOVER_MS,
} from "./owned_upstreams.ts";
export * from "./types.ts";
