/**
 * Which hosts follow the platform's tables. A few do and pass on what they
 * learn; the others follow only when they hear nothing.
 *
 * Load: 390 hosts and a table service that prices and limits calls. Harm
 * prevented: each host following by itself takes a call a second and table,
 * which at 89 hosts is more than the service allows, so that nobody learns of a
 * leaving upstream in time; and a few fixed readers that are turned away by the
 * service would leave all others behind.
 *
 * @module
 */

import { rankByRendezvous } from "../membership/mod.ts";

/**
 * Hosts that read at the same time. With three, the first two may lose the
 * platform in the same second and nobody waits for a new one.
 */
export const READER_COUNT = 3;

/**
 * A host that was turned away is passed over for so long, in ms; by then most
 * short outages are over and it may be asked again.
 */
export const FAILURE_MEMORY_MS = 5_000;

/**
 * Without a confirmation by any reader for so long, in ms, a host reads itself:
 * twice the second in which a reader confirms, so that a lost datagram alone
 * does not do it.
 */
export const CONFIRMATION_TIMEOUT_MS = 2_000;

const READER_KEY = "platform-reader";

/** What the choice is made from. */
export interface ReaderSelectionInput {
  readonly self: string;
  /** Hosts that are alive, this one included. */
  readonly hosts: readonly string[];
  /** Whether the platform has turned the host away lately. */
  hasRecentFailure(host: string): boolean;
  /** Time since any reader confirmed its tables, in ms. */
  readonly unconfirmedMs: number;
}

/**
 * Why a host reads: it is among the first in rank, or heard of no reader. Why it
 * does not: others are before it, or the platform has turned it away.
 */
export type ReadingReason =
  | "first-in-rank"
  | "unconfirmed"
  | "others-first"
  | "turned-away";

/** What a host does about a table, and why. */
export interface ReadingDecision {
  readonly reads: boolean;
  readonly because: ReadingReason;
  /** Hosts passed over, since the platform has turned them away. */
  readonly passedOver: number;
}

/** Whether this host follows the platform's tables now. */
export function decideToRead(input: ReaderSelectionInput): ReadingDecision {
  const healthy = input.hosts.filter((host) => !input.hasRecentFailure(host));
  const passedOver = input.hosts.length - healthy.length;
  if (input.unconfirmedMs > CONFIRMATION_TIMEOUT_MS) {
    return { reads: true, because: "unconfirmed", passedOver };
  }
  // Where the platform turns everyone away, somebody must see it come back.
  const candidates = healthy.length > 0 ? healthy : input.hosts;
  const ranked = rankByRendezvous(READER_KEY, candidates);
  if (ranked.slice(0, READER_COUNT).includes(input.self)) {
    return { reads: true, because: "first-in-rank", passedOver };
  }
  const isExcluded = !candidates.includes(input.self);
  const because = isExcluded ? "turned-away" : "others-first";
  return { reads: false, because, passedOver };
}
