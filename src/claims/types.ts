/**
 * Types of claims: the row in the table service, and the results of claiming.
 *
 * @module
 */

import type * as Effect from "effect/Effect";

/** Recorded response of a claimed request, returned to later requests. */
export interface RecordedEnd {
  readonly status: number;
  readonly body: string;
}

/**
 * State of a claim. "held": the attempt that wrote it may be running.
 * "released": that attempt sent nothing upstream and never will, so another
 * attempt may claim the key. "ended": the response is recorded. "unknown": the
 * request was sent upstream, and its outcome was lost.
 */
export type ClaimState = "held" | "released" | "ended" | "unknown";

/** Value of a claim's row in the table service. */
export interface ClaimRow {
  readonly state: ClaimState;
  /** Id of the request that wrote the row. */
  readonly attempt: string;
  /**
   * Unique per write; shows after a lost reply whether the write took effect.
   */
  readonly writeId: string;
  /** Digest of the content; equal for requests with equal content. */
  readonly fingerprint: string;
  readonly host: string;
  /** Start of the host's process, in wall milliseconds. */
  readonly incarnation: number;
  /** Wall milliseconds after which the key may be reused. */
  readonly expiresMs: number;
  readonly end?: RecordedEnd;
}

/** Result of acquiring a claim. */
export type ClaimResult =
  | { readonly kind: "claimed" }
  | { readonly kind: "ended"; readonly end: RecordedEnd }
  /** The outcome of the request was lost and cannot be determined. */
  | { readonly kind: "unknown" }
  | { readonly kind: "under-way"; readonly row: ClaimRow }
  /** The key was used with different content. */
  | { readonly kind: "other-content" }
  /** The table service failed; the attempt must send nothing upstream. */
  | { readonly kind: "unavailable"; readonly reason: string };

/** Identity of a claim, its content, and the attempt that acquires it. */
export interface ClaimInput {
  readonly team: string;
  readonly service: string;
  readonly operation: string;
  readonly idempotencyKey: string;
  readonly fingerprint: string;
  /** Id of the request that claims. */
  readonly attempt: string;
}

/**
 * The claim of one attempt. After the attempt called `acquire`, whatever the
 * result, it calls exactly one of `recordEnd`, `recordUnknown` and `release`.
 */
export interface Claim {
  /** Acquires the claim. The write continues if this effect is interrupted. */
  readonly acquire: Effect.Effect<ClaimResult>;
  /** Records the response; true if the record was written. */
  recordEnd(end: RecordedEnd): Effect.Effect<boolean>;
  /** Records that the outcome is unknown; true if the record was written. */
  recordUnknown(): Effect.Effect<boolean>;
  /**
   * Releases the claim of an attempt that sent nothing upstream. May also be
   * called while the outcome of `acquire` is uncertain: it then ensures that a
   * write that is still in flight cannot take effect later.
   */
  release(): Effect.Effect<boolean>;
}

/** The claims of one host. */
export interface Claims {
  create(input: ClaimInput): Claim;
  /** Deletes the expired claims of one part of the keys; run periodically. */
  readonly sweep: Effect.Effect<number>;
}
