/**
 * Decides when a link is pinged and when it is considered dead.
 *
 * Failure prevented: a device between the two ends drops the connection
 * silently. The connection stays open and carries no data, without an error,
 * unless one end pings. Therefore each ping must be answered in time.
 *
 * Load: 390 hosts with links to dozens of slot owners each, most of them idle
 * at any moment. Pinging every link each second would cost more traffic than
 * the links carry. A link is therefore pinged frequently only while it is in
 * use: while a slot at the other end is held or requested.
 *
 * @module
 */

/** Times in ms. */
export interface LinkKeepaliveOptions {
  /** A link in use on which nothing was received for this time is pinged. */
  readonly pingIntervalMs: number;
  /** An idle link on which nothing was received for this time is pinged. */
  readonly idlePingIntervalMs: number;
  /** A link whose ping is not answered within this time is considered dead. */
  readonly pongTimeoutMs: number;
}

/**
 * The next action for a link: nothing ("wait"), a ping ("ask"), or closing it
 * as dead ("give-up").
 */
export type LinkDecision =
  | { readonly kind: "wait" }
  | { readonly kind: "ask" }
  | { readonly kind: "give-up"; readonly silentMs: number };

/** Monitors one connection, starting when it is dialled. */
export interface LinkKeepalive {
  /** Records that data was received from the other end. */
  recordReceived(nowMs: number): void;
  /**
   * Called about every `pingIntervalMs`. When it returns `ask`, the caller must
   * send a ping.
   */
  decide(nowMs: number, isInUse: boolean): LinkDecision;
}

/** Creates the monitor of a connection whose hello is being sent. */
export function createLinkKeepalive(
  options: LinkKeepaliveOptions,
  nowMs: number,
): LinkKeepalive {
  let lastReceivedMs = nowMs;
  // The hello must be answered like any ping.
  let pingSentMs: number | undefined = nowMs;

  return {
    recordReceived(atMs) {
      lastReceivedMs = atMs;
      pingSentMs = undefined;
    },
    decide(atMs, isInUse) {
      if (pingSentMs !== undefined) {
        return atMs - pingSentMs < options.pongTimeoutMs
          ? { kind: "wait" }
          : { kind: "give-up", silentMs: atMs - lastReceivedMs };
      }
      const periodMs = isInUse
        ? options.pingIntervalMs
        : options.idlePingIntervalMs;
      // Compares with half an interval, so that a timer that fires slightly
      // early does not skip a ping.
      if (atMs - lastReceivedMs < periodMs / 2) return { kind: "wait" };
      pingSentMs = atMs;
      return { kind: "ask" };
    },
  };
}
