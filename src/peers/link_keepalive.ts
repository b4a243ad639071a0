/**
 * Decides when a link is asked for a sign of life, and when it is given up.
 *
 * Failure: something between the two ends loses track of a connection. It stays
 * open and carries nothing, without an error, for as long as nobody asks. Guard:
 * what is asked must be answered in time.
 *
 * Load: 390 hosts with links to dozens of owners each, most of them unused at
 * any moment. Harm prevented: a ping each second on every link costs more than
 * all that the links carry. A link is therefore asked often only while something
 * depends on it: a slot held or asked for at the other end.
 *
 * @module
 */

/** Times in milliseconds. */
export interface LinkKeepaliveOptions {
  /** A link in need that was quiet for so long is asked. */
  readonly pingIntervalMs: number;
  /** Any other link that was quiet for so long is asked. */
  readonly idlePingIntervalMs: number;
  /** An answer that takes longer never comes. */
  readonly pongTimeoutMs: number;
}

/** What to do with the link now. */
export type LinkDecision =
  | { readonly kind: "wait" }
  | { readonly kind: "ask" }
  | { readonly kind: "give-up"; readonly silentMs: number };

/** Watches one connection from its dialing on. */
export interface LinkKeepalive {
  /** Something came from the other end. */
  recordReceived(nowMs: number): void;
  /** Called about each `pingMs`; an `ask` counts as done. */
  decide(nowMs: number, isInUse: boolean): LinkDecision;
}

/** Makes the watch of a connection whose greeting is just being sent. */
export function createLinkKeepalive(
  options: LinkKeepaliveOptions,
  nowMs: number,
): LinkKeepalive {
  let lastReceivedMs = nowMs;
  // The greeting must be answered like any ping.
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
      // Half a period, since a turn that comes a little early must not skip it.
      if (atMs - lastReceivedMs < periodMs / 2) return { kind: "wait" };
      pingSentMs = atMs;
      return { kind: "ask" };
    },
  };
}
