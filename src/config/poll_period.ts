/**
 * The period in which a host polls the store for the newest version.
 *
 * Load: 390 hosts read from a store that takes about 2,000 reads a second, many
 * of them over a link that is billed by volume. Failure prevented: the polls
 * alone use up the store's capacity, or a version takes long to reach the hosts
 * if the host that accepted it fails at once.
 *
 * Versions are gossiped in datagrams, so frequent polls by one host of each
 * data centre suffice. Rendezvous hashing designates that host; it can be any
 * host. A host that receives nothing from other hosts, or has no version in
 * force, can't rely on gossip and polls frequently itself.
 *
 * @module
 */

/** State of the host from which its poll period is derived. */
export interface PollInput {
  readonly hasVersion: boolean;
  /** Whether this host polls on behalf of its data centre. */
  readonly isDesignatedPoller: boolean;
  readonly sinceLastPeerMs: number;
  /** Jitter from 0 up to 1 that separates hosts which start together. */
  readonly random: number;
}

/** Within a third of the 7 s in which a version must be in force. */
export const FREQUENT_POLL_MS = 2_000;

/** A host without a version serves no request, so it polls every second. */
const NO_VERSION_POLL_MS = 1_000;

/** A fallback for faults of the gossip. */
export const INFREQUENT_POLL_MS = 30_000;

/** Several probe periods, so that the loss of single datagrams is tolerated. */
const PEER_SILENCE_MS = 3_000;

/**
 * Milliseconds until the next poll; jitter shortens the period by up to 25%.
 */
export function getPollMs(input: PollInput): number {
  return getPeriodMs(input) * (1 - input.random / 4);
}

function getPeriodMs(input: PollInput): number {
  if (!input.hasVersion) return NO_VERSION_POLL_MS;
  const isIsolated = input.sinceLastPeerMs > PEER_SILENCE_MS;
  return input.isDesignatedPoller || isIsolated
    ? FREQUENT_POLL_MS
    : INFREQUENT_POLL_MS;
}
