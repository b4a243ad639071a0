/**
 * Types of the messages about prefill grants. A host that has prompts to start
 * is a requester; the host that admits prompts to an upstream is its owner.
 *
 * @module
 */

import type { YieldLevel } from "../queue/types.ts";

/** A request for a grant to start one prompt at one upstream. */
export interface GrantRequest {
  /** Unique at the requester in one session. */
  readonly number: number;
  /** Tokens that the upstream has to prefill for it. */
  readonly tokens: number;
  /** Service counted against the team's fair share, in tokens. */
  readonly serviceTokens: number;
  /** Digest of the upstream's id and incarnation. */
  readonly upstream: number;
  /** Digest of the team's name. */
  readonly team: number;
  readonly yields: YieldLevel;
  /** Whether its team is over its share or overserved, and so goes last. */
  readonly isDeprioritised: boolean;
  /** Time since the prompt's arrival, in ms. */
  readonly ageMs: number;
  /** Time until the prompt is refused, in ms. */
  readonly remainingMs: number;
}

/** A prompt that a requester has started without a grant. */
export type UngrantedStart = Pick<
  GrantRequest,
  "upstream" | "tokens" | "serviceTokens" | "team"
>;

/** An item that a requester sends to an owner. */
export type RequesterItem =
  | { readonly kind: "request"; readonly request: GrantRequest }
  | { readonly kind: "start"; readonly start: UngrantedStart }
  /** The request is cancelled, or its grant is returned. */
  | { readonly kind: "release"; readonly number: number };

/** An item that an owner sends to a requester. */
export type OwnerItem =
  | { readonly kind: "grant"; readonly number: number }
  /** The request has arrived and waits. */
  | { readonly kind: "waiting"; readonly number: number };

/** A part of a message. */
export type GrantItem = RequesterItem | OwnerItem;

/** A message in either direction. */
export interface GrantMessage {
  /**
   * Session of the requester, which identifies a run of its process. Without it, an
   * answer to the former process could start a prompt of the present one.
   */
  readonly session: number;
  readonly items: readonly GrantItem[];
}
