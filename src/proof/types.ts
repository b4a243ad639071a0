/**
 * A history: the observations of callers, upstreams, hosts and operators in one
 * run. All are made outside the program, so that the checks do not depend on
 * what the checked program reports about itself.
 *
 * A promise is a documented guarantee of the system, such as that a request
 * runs at most once.
 *
 * @module
 */

import type { Outcome } from "../types.ts";

/** An observation without its time. */
export type ObservationBody =
  | {
    readonly kind: "request-sent";
    /** Id of one sending of a request; a resend has another id. */
    readonly sending: string;
    readonly team: string;
    readonly service: string;
    readonly operation: string;
    readonly idempotent: boolean;
    /** Id of the piece of work, shared by all its sendings. */
    readonly work: string;
  }
  | {
    readonly kind: "request-ended";
    readonly sending: string;
    /**
     * "cut": the connection ended without a final answer. "silent": it stayed
     * open, and no final answer came long after the deadline.
     */
    readonly outcome: Outcome | "cut" | "silent";
    /** The id that the system gave the request; empty if it sent none. */
    readonly request: string;
    /** Fault of the answer; empty if it is complete and the caller's own. */
    readonly fault: string;
    /** Host that the caller was connected to; empty if unknown. */
    readonly host: string;
  }
  | {
    readonly kind: "upstream-ran";
    readonly upstream: string;
    readonly request: string;
    readonly work: string;
    readonly operation: string;
  }
  | { readonly kind: "upstream-leaving"; readonly upstream: string }
  | { readonly kind: "upstream-back"; readonly upstream: string }
  | {
    readonly kind: "upstream-crashed";
    readonly upstream: string;
    readonly work: string;
  }
  | {
    readonly kind: "order-taken";
    readonly upstream: string;
    readonly token: number;
    readonly fencing: "checks" | "ignores";
  }
  | {
    readonly kind: "config-accepted";
    readonly version: number;
    readonly digest: string;
  }
  | {
    readonly kind: "config-seen";
    readonly host: string;
    /** 0: the host reported that it is not ready. */
    readonly version: number;
  }
  | { readonly kind: "host-asked-to-drain"; readonly host: string }
  | { readonly kind: "host-exited"; readonly host: string }
  | { readonly kind: "host-killed"; readonly host: string }
  | {
    readonly kind: "host-reachable";
    readonly host: string;
    readonly reachable: boolean;
  }
  | { readonly kind: "regions-cut"; readonly cut: boolean }
  | {
    readonly kind: "gap-seen";
    readonly service: string;
    /** Largest difference in normalised service of two backlogged teams. */
    readonly gap: number;
    readonly bound: number;
  }
  | {
    readonly kind: "wait-seen";
    readonly team: string;
    readonly waitedMs: number;
    readonly boundMs: number;
  };

/** An observation with its time in milliseconds since the run's start. */
export type Observation = ObservationBody & { readonly atMs: number };

/** The names of the promises that a history is checked against. */
export type PromiseName =
  | "at-most-once"
  | "not-run-did-not-run"
  | "whole-answer"
  | "always-ended"
  | "leaving-upstream-gets-nothing"
  | "drain-cuts-nothing"
  | "config-never-reverts"
  | "config-in-force-in-time"
  | "one-operator-wins"
  | "orders-are-fenced"
  | "crashes-are-limited"
  | "gap-is-bounded"
  | "no-team-starves";

/** A violation of a promise in a history. */
export interface Violation {
  readonly promise: PromiseName;
  readonly atMs: number;
  readonly what: string;
}

/** Times and counts that are part of the promises. */
export interface PromiseLimits {
  /** Time after which a leaving upstream gets no new work, in milliseconds. */
  readonly leavingMs: number;
  /** Time until an accepted configuration is in force at all hosts, in ms. */
  readonly configMs: number;
  /**
   * How often one piece of work may crash upstreams. Crashes before the first
   * of them can be known at other hosts count as one. While regions are
   * partitioned from each other, each region counts separately.
   */
  readonly crashes: number;
  /** Time until a crash is known at all hosts, in milliseconds. */
  readonly crashKnownMs: number;
}

/** The limits as documented. */
export const documentedLimits: PromiseLimits = {
  leavingMs: 5_000,
  configMs: 7_000,
  crashes: 2,
  crashKnownMs: 500,
};
