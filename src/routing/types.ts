/**
 * What operators declare for a fleet of entry hosts that forwards HTTP as it
 * is: routes, services, the teams' keys and what callers may send.
 *
 * @module
 */

/**
 * What may be repeated. `idempotent`: run any number of times. `at-most-once`:
 * run by one upstream at most. `stream`: a series of events, repeated only from
 * where it broke off, and only on a resumable route.
 */
export type RouteKind = "idempotent" | "at-most-once" | "stream";

/** A service with its share of a route's requests. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** Where requests of one host name and path prefix go. */
export interface Route {
  readonly name: string;
  /** Value of the `Host` header, without a port. */
  readonly hostName: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  readonly services: readonly WeightedService[];
  /** Longest time that a request is kept, in ms. */
  readonly timeoutMs: number;
  /** An answer, or a stream's first event, within so long is on time, in ms. */
  readonly targetMs: number;
  /** Longest pause between two events of a stream that is on time, in ms. */
  readonly pauseTargetMs: number | undefined;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Upstreams to which one request may be sent. */
  readonly maxAttempts: number;
  /** No key is needed. */
  readonly isPublic: boolean;
  /** A broken stream may go on at another upstream. */
  readonly isResumable: boolean;
  /** Requests carry prompts whose shared parts upstreams keep. */
  readonly hasPrompts: boolean;
}

/** A service as operators declare it. */
export interface RoutedService {
  readonly name: string;
  /** Connections that one of its upstreams accepts from all hosts together. */
  readonly maxConnections: number;
  /** Tokens that one upstream's memory holds; absent for a plain service. */
  readonly promptMemoryTokens: number | undefined;
}

/** A team and the keys that its callers send. */
export interface KeyedTeam {
  readonly name: string;
  readonly keys: readonly string[];
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Time to send a request's headers, in ms. */
  readonly headerTimeoutMs: number;
  /** Time that a connection may stay idle, in ms. */
  readonly idleTimeoutMs: number;
}

/** All that operators declare; one immutable value for each version. */
export interface RoutingConfig {
  /** The operator's number; grows by uneven steps. */
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  readonly teams: readonly KeyedTeam[];
  readonly callerLimits: CallerLimits;
  /** Prompt and output tokens that all upstreams together do in a second. */
  readonly tokensPerSecond: number | undefined;
}
