/**
 * The row of a claim and what a claim can come to.
 *
 * @module
 */

import type * as Effect from "effect/Effect";

/** The end of a claimed request as a resend gets it. */
export interface RecordedEnd {
  readonly status: number;
  readonly body: string;
}

/**
 * Life of a claim. "held": its attempt may be running. "released": its attempt
 * sent nothing upstream and never will, so another may claim. "ended": the
 * outcome is recorded. "unknown": the call went upstream and its end was lost.
 */
export type ClaimState = "held" | "released" | "ended" | "unknown";

/** The row of a claim in the table service. */
export interface ClaimRow {
  readonly state: ClaimState;
  /** The request that wrote the row. */
  readonly attempt: string;
  /** New at each write; tells after a lost reply whether it took effect. */
  readonly writeId: string;
  /** Same for a resend of the same content. */
  readonly fingerprint: string;
  readonly host: string;
  /** Start of the host's process, in wall milliseconds. */
  readonly incarnation: number;
  /** Wall milliseconds after which the key may be used anew. */
  readonly expiresMs: number;
  readonly end?: RecordedEnd;
}

/** What an attempt to claim came to. */
export type ClaimResult =
  | { readonly kind: "claimed" }
  | { readonly kind: "ended"; readonly end: RecordedEnd }
  /** The end is not known and never will be. */
  | { readonly kind: "unknown" }
  | { readonly kind: "under-way"; readonly row: ClaimRow }
  /** The key was used for other content. */
  | { readonly kind: "other-content" }
  /** The table service can't be asked; this attempt sends nothing. */
  | { readonly kind: "unavailable"; readonly reason: string };

/** What names a claim. */
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
 * One attempt's claim. Its owner calls exactly one of `end`, `setUnknown` and
 * `release` after an attempt to take it.
 */
export interface Claim {
  /** Takes the claim. Interrupting it leaves the write under way. */
  readonly acquire: Effect.Effect<ClaimResult>;
  /** Records the outcome; true when it stands. */
  recordEnd(end: RecordedEnd): Effect.Effect<boolean>;
  /** Records that the end is not known; true when it stands. */
  recordUnknown(): Effect.Effect<boolean>;
  /**
   * Gives the claim up, for an attempt that sent nothing. Also right when the
   * fate of `take` is not known: it then makes sure that a write which is still
   * on its way can't take effect later.
   */
  release(): Effect.Effect<boolean>;
}

/** The claims of one host. */
export interface Claims {
  create(input: ClaimInput): Claim;
  /** Deletes claims that expired, in one part of the keys; called now and then. */
  readonly sweep: Effect.Effect<number>;
}
