/**
 * Types of the warm-up of upstreams.
 *
 * @module
 */

/**
 * Limit on the requests that one upstream of a service gets while it is cold:
 * for some seconds after its start it is slow, and crashes under more.
 */
export interface WarmUpLimit {
  /** How long an upstream stays cold after it starts, in ms. */
  readonly durationMs: number;
  /** Requests that a cold upstream gets in any second, from all hosts. */
  readonly requestsPerSecond: number;
}

/** An upstream whose warm-up is followed. */
export interface WarmingUpstream {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  /** Wall-clock start time in ms; distinguishes restarts under the same id. */
  readonly incarnation: number;
}

/**
 * What the warm-up of an upstream allows this host now. `unlimited`: it is not
 * cold. `now` and `later`: this host has a part of the limit, and a request of
 * it is due or not. `none`: other hosts have the limit.
 */
export type WarmUpAllowance = "unlimited" | "now" | "later" | "none";
