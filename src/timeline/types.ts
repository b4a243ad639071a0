/**
 * The events of the timeline. Each decision and each step of a request is one
 * typed event; `azurestile-timeline` merges the events of all processes.
 *
 * @module
 */

import type { Outcome } from "../types.ts";

/** An event without its time and host. */
export type EventBody =
  | {
    readonly kind: "request-admitted";
    readonly request: string;
    readonly team: string;
    readonly service: string;
    readonly queued: number;
  }
  | {
    readonly kind: "request-refused";
    readonly request: string;
    readonly team: string;
    readonly reason: string;
    readonly retryAfterMs: number;
  }
  | {
    readonly kind: "slot-granted";
    readonly upstream: string;
    readonly team: string;
    readonly to: string;
    readonly counter: number;
  }
  | {
    readonly kind: "request-dispatched";
    readonly request: string;
    readonly team: string;
    readonly upstream: string;
    readonly waitedMs: number;
  }
  | {
    readonly kind: "request-shifted";
    readonly request: string;
    readonly team: string;
    readonly reason: string;
  }
  | {
    readonly kind: "request-retried";
    readonly request: string;
    readonly team: string;
    readonly upstream: string;
    readonly reason: string;
  }
  | {
    readonly kind: "stream-resumed";
    readonly request: string;
    readonly team: string;
    readonly upstream: string;
    readonly offset: number;
  }
  | {
    readonly kind: "request-ended";
    readonly request: string;
    readonly team: string;
    readonly outcome: Outcome;
    readonly cost: number;
    readonly reason: string;
  }
  | {
    readonly kind: "claim-decided";
    readonly request: string;
    readonly team: string;
    readonly decision: string;
  }
  | {
    readonly kind: "limit-changed";
    readonly upstream: string;
    readonly limit: number;
    readonly reason: string;
  }
  | {
    readonly kind: "member-changed";
    readonly member: string;
    readonly state: string;
  }
  | {
    readonly kind: "owner-changed";
    readonly upstream: string;
    readonly owner: string;
  }
  | {
    readonly kind: "config-in-force";
    readonly version: number;
    readonly digest: string;
  }
  | {
    readonly kind: "content-quarantined";
    readonly fingerprint: string;
    readonly crashes: number;
  }
  | {
    readonly kind: "order-given";
    readonly upstream: string;
    readonly order: string;
    readonly token: number;
    readonly decision: string;
  }
  | { readonly kind: "host-draining"; readonly reason: string };

/** An event with its time and host. */
export type TimelineEvent = EventBody & {
  /** Timestamp of the hybrid logical clock. */
  readonly at: number;
  readonly host: string;
};

/** The kinds of events. */
export type EventKind = EventBody["kind"];
