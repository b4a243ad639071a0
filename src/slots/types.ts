/**
 * Messages between entry hosts and the slot owner of an upstream. A slot is the
 * right to have one request in flight at that upstream.
 *
 * @module
 */

/**
 * Result of the request that used a slot; "unused" when no request was sent.
 */
export type SlotResult = "answered" | "failed" | "unused";

/** The requests of one team that wait for a slot at the sending host. */
export interface Want {
  readonly team: string;
  readonly waiting: number;
  /** How long the oldest of these requests has waited, in milliseconds. */
  readonly ageMs: number;
}

/** A slot that an entry host holds. */
export interface HeldSlot {
  readonly slot: number;
  readonly team: string;
}

/** Entry host to owner: the requests that wait for a slot at the host. */
export interface SlotRequest {
  readonly upstream: string;
  readonly wants: readonly Want[];
  /**
   * True when the message replaces everything that the owner knew of this host.
   */
  readonly full: boolean;
  /** The slots that this host holds; only filled in when `full` is true. */
  readonly held: readonly HeldSlot[];
}

/** Owner to entry host: the host may use the slot for a request of the team. */
export interface Grant {
  readonly upstream: string;
  readonly slot: number;
  readonly team: string;
  /**
   * True while no other request waits: the host may reuse the slot without
   * asking.
   */
  readonly keep: boolean;
  /** Hint: the number of slots that the owner can still grant. */
  readonly free: number;
}

/**
 * Owner to entry host: other requests wait, so the host returns its kept slots.
 */
export interface Recall {
  readonly upstream: string;
  /**
   * True when the owner has lost its state of this host, which then sends all
   * its waiting requests and held slots again.
   */
  readonly redeclare: boolean;
}

/** One request that used a kept slot. */
export interface KeptUse {
  readonly slot: number;
  readonly firstByteMs: number;
  /** Mean time between two tokens, in ms; 0 when there were fewer than two. */
  readonly tokenIntervalMs: number;
}

/**
 * Entry host to owner: requests that used kept slots since the last message of
 * this kind.
 */
export interface KeptUses {
  readonly upstream: string;
  readonly uses: readonly KeptUse[];
}

/** Entry host to owner: a slot is free, with the cost of its request. */
export interface Release {
  readonly upstream: string;
  readonly slot: number;
  readonly team: string;
  /** Cost of the request, in cost units. */
  readonly cost: number;
  readonly firstByteMs: number;
  /**
   * Mean time between two tokens, in ms; 0 or absent when there were fewer than
   * two.
   */
  readonly tokenIntervalMs?: number;
  readonly result: SlotResult;
}
