/**
 * A history: what callers, upstreams, hosts and operators saw in one run. It
 * holds observations from outside only, so that a check of it does not trust the
 * program that it checks.
 *
 * @module
 */

import type { Outcome } from "../types.ts";

/** What one observer saw, without the time. */
export type ObservationBody =
  | {
    readonly kind: "request-sent";
    /** Names one sending; a resend is another. */
    readonly sending: string;
    readonly team: string;
    readonly service: string;
    readonly operation: string;
    readonly idempotent: boolean;
    /** Same for all sendings of one piece of work. */
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
    /** The request's id at the system; empty when it was never told. */
    readonly request: string;
    /** What is wrong with the answer; empty when it is whole and the own. */
    readonly fault: string;
    /** Host that the caller was connected to; empty when unknown. */
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
    /** 0: the host said that it is not ready. */
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
    /** Largest difference of normalised service of two backlogged teams. */
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

/** The promises that a history is checked against. */
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

/** A promise that the history breaks. */
export interface Violation {
  readonly promise: PromiseName;
  readonly atMs: number;
  readonly what: string;
}

/** Times and counts that the promises state. */
export interface PromiseLimits {
  /** A leaving upstream gets no new work after so many milliseconds. */
  readonly leavingMs: number;
  /** An accepted configuration is in force everywhere within so many ms. */
  readonly configMs: number;
  /**
   * Times that one piece of work may crash upstreams. Crashes before the first
   * of them can be known elsewhere are one time; while regions are cut, each
   * region counts by itself.
   */
  readonly crashes: number;
  /** Until a crash is known at all hosts, in milliseconds. */
  readonly crashKnownMs: number;
}

/** The limits that the documentation states. */
export const documentedLimits: PromiseLimits = {
  leavingMs: 5_000,
  configMs: 7_000,
  crashes: 2,
  crashKnownMs: 500,
};
