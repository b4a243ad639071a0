/**
 * Selects the hosts that read the platform's tables. A few hosts read each
 * table and distribute it; the other hosts read it only if they receive no
 * report from a reader.
 *
 * Load: 390 hosts and a table service that charges for calls and limits their
 * rate. Failure prevented: if every host read the tables itself, each would
 * make one call per second and table. At 89 hosts that is more than the service
 * allows, so no host would learn in time that an upstream is leaving. A fixed
 * set of readers would not do either: if the service rejected those few hosts,
 * all other hosts would keep stale tables.
 *
 * @module
 */

import { rankByRendezvous } from "../membership/mod.ts";

/**
 * Number of hosts that read a table at the same time. With three readers, two
 * can lose contact with the platform in the same second, and the other hosts
 * still receive changes without waiting for a new reader.
 */
export const READER_COUNT = 3;

/**
 * A host whose read failed is not selected as a reader for this time, in ms.
 * Most short outages are over by then, and the host may try again.
 */
export const FAILURE_MEMORY_MS = 5_000;

/**
 * If no reader has reported a successful read for this time, in ms, a host
 * reads the table itself. Readers report at least once per second; twice that
 * interval tolerates the loss of one datagram.
 */
export const CONFIRMATION_TIMEOUT_MS = 2_000;

/**
 * A host that has lacked a version for this time, in ms, reads the table itself:
 * no reader has given it a copy. The rest of the time within which a change must
 * be in force is enough for that.
 */
export const LACK_TIMEOUT_MS = 1_000;

const READER_KEY = "platform-reader";

/** The inputs of the selection. */
export interface ReaderSelectionInput {
  readonly self: string;
  /** Peer addresses of the hosts that are alive, including this one. */
  readonly hosts: readonly string[];
  /** Whether the host's last read of the table failed recently. */
  hasRecentFailure(host: string): boolean;
  /** Time since the last successful read of the table by any reader, in ms. */
  readonly unconfirmedMs: number;
  /** Time for which this host has lacked a version that another has, in ms. */
  readonly lackedMs: number;
}

/**
 * Why a host reads a table: it ranks among the first hosts, no reader has
 * reported a read recently ("unconfirmed"), or it lacks what a reader has
 * ("behind"). Why it does not read: other hosts rank higher, or its own last
 * read failed ("turned-away").
 */
export type ReadingReason =
  | "first-in-rank"
  | "unconfirmed"
  | "behind"
  | "others-first"
  | "turned-away";

/** Whether a host reads a table, and why. */
export interface ReadingDecision {
  readonly reads: boolean;
  readonly because: ReadingReason;
  /** Number of hosts that were excluded because their last read failed. */
  readonly passedOver: number;
}

/** Decides whether this host reads the table now. */
export function decideToRead(input: ReaderSelectionInput): ReadingDecision {
  const healthy = input.hosts.filter((host) => !input.hasRecentFailure(host));
  const passedOver = input.hosts.length - healthy.length;
  if (input.unconfirmedMs > CONFIRMATION_TIMEOUT_MS) {
    return { reads: true, because: "unconfirmed", passedOver };
  }
  // If reads fail at all hosts, some must keep trying to detect the recovery.
  const candidates = healthy.length > 0 ? healthy : input.hosts;
  const ranked = rankByRendezvous(READER_KEY, candidates);
  if (ranked.slice(0, READER_COUNT).includes(input.self)) {
    return { reads: true, because: "first-in-rank", passedOver };
  }
  if (input.lackedMs > LACK_TIMEOUT_MS) {
    return { reads: true, because: "behind", passedOver };
  }
  const isExcluded = !candidates.includes(input.self);
  const because = isExcluded ? "turned-away" : "others-first";
  return { reads: false, because, passedOver };
}
