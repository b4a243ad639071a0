/**
 * The configuration of a fleet of entry hosts that forwards HTTP requests
 * unchanged: routes, services, the keys of teams and the limits of callers.
 *
 * @module
 */

import type { WarmUpLimit } from "../warmup/types.ts";

/**
 * Whether a request may be repeated. `idempotent`: it may run any number of
 * times. `at-most-once`: at most one upstream may run it. `stream`: the
 * response is a series of events; the request is repeated only from the event
 * after which the stream broke off, and only on a resumable route.
 */
export type RouteKind = "idempotent" | "at-most-once" | "stream";

/** A service, weighted by its share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** Routing of the requests with one host name and path prefix. */
export interface Route {
  readonly name: string;
  /** Value of the `Host` header, without a port. */
  readonly hostName: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly services: readonly WeightedService[];
  /** Time-out of a request, in ms. */
  readonly timeoutMs: number;
  /**
   * Target for the time to the response, or to the first event of a stream, in
   * ms.
   */
  readonly targetMs: number;
  /** Target for the longest pause between two events of a stream, in ms. */
  readonly pauseTargetMs: number | undefined;
  /** Priority; 0 is the most urgent. */
  readonly rank: number;
  /** Maximum number of upstreams to which one request is sent. */
  readonly maxAttempts: number;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
  /** Whether a broken stream may be resumed at another upstream. */
  readonly isResumable: boolean;
  /**
   * Whether requests carry prompts whose shared prefixes upstreams keep in
   * memory.
   */
  readonly hasPrompts: boolean;
  /**
   * Regions in which its requests may be handled; empty if in all. Those of the
   * team bind as well.
   */
  readonly allowedRegions: readonly string[];
}

/** A service as operators configure it. */
export interface RoutedService {
  readonly name: string;
  /** Connections that one of its upstreams accepts from all hosts together. */
  readonly maxConnections: number;
  /**
   * Prompt tokens that the memory of one upstream holds; `undefined` for a
   * plain service.
   */
  readonly promptMemoryTokens: number | undefined;
  /**
   * Limit on requests to upstreams that have just started; `undefined` if they
   * need no warm-up.
   */
  readonly warmUp: WarmUpLimit | undefined;
  /**
   * How its upstreams fetch the memory of prompt tokens from each other;
   * `undefined` if they do not.
   */
  readonly memoryTransfer: MemoryTransfer | undefined;
}

/** Transfer of the memory of prompt tokens (KV cache) between two upstreams. */
export interface MemoryTransfer {
  /** Memory of one token, in bytes; above 0. */
  readonly bytesPerToken: number;
  /** Rate of the link of one upstream, in Mbit/s; above 0. */
  readonly megabitsPerSecond: number;
}

/** A team and the keys of its callers. */
export interface KeyedTeam {
  readonly name: string;
  readonly keys: readonly string[];
  /** Regions in which its requests may be handled; empty if in all. */
  readonly allowedRegions: readonly string[];
}

/** Limits on what callers send and how long they take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Time-out for receiving the headers of a request, in ms. */
  readonly headerTimeoutMs: number;
  /** Time-out of an idle connection, in ms. */
  readonly idleTimeoutMs: number;
}

/** The complete configuration; one immutable value for each version. */
export interface RoutingConfig {
  /**
   * Version number assigned by the operator; increases, but may skip numbers.
   */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  readonly teams: readonly KeyedTeam[];
  readonly callerLimits: CallerLimits;
  /**
   * Prompt and output tokens that all upstreams together process in a second.
   */
  readonly tokensPerSecond: number | undefined;
  /**
   * What operators wrote that makes no sense, each with what holds instead; the
   * rest of the configuration is in force.
   */
  readonly problems: readonly string[];
}
