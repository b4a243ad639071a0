/**
 * How often a host reads the head from the store.
 *
 * Load: 390 hosts before a store that takes about 2,000 reads a second, many of
 * them across the link that is paid by volume. Harm prevented: the polls alone
 * eat the store, or a change whose acceptor died at once waits for long.
 *
 * Versions spread by datagrams, so one host of each data centre polls often;
 * it is picked by rendezvous hashing, and any host can be it. A host that hears
 * no other one, or has nothing in force, can't rely on that and polls often
 * itself.
 *
 * @module
 */

/** What the period depends on. */
export interface PollInput {
  readonly hasVersion: boolean;
  /** This host polls for its data centre. */
  readonly isDesignatedPoller: boolean;
  readonly sinceLastPeerMs: number;
  /** From 0 up to 1, so that hosts that start together drift apart. */
  readonly random: number;
}

/** A third of the 7 s in which a version must be in force. */
export const FREQUENT_POLL_MS = 2_000;

/** Without a version no request is served: a second is what one notices. */
const NO_VERSION_POLL_MS = 1_000;

/** A backstop only, against a fault in the datagrams' spread. */
export const INFREQUENT_POLL_MS = 30_000;

/** Longer than a few probe periods, so that a lost datagram changes nothing. */
const PEER_SILENCE_MS = 3_000;

/** Milliseconds until the next poll: the period, less up to a quarter. */
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
