/**
 * Tracks suspects: when each is declared dead, and when this host probes it
 * directly.
 *
 * Load: 390 hosts, and one datagram in twenty is lost.
 *
 * Failure prevented: a live host is declared dead because the suspicion, or the
 * host's refutation of it, reached some hosts too late. Each host therefore
 * probes a suspect itself before it declares it dead.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { Member } from "./types.ts";

/** The suspects that one host knows. */
export interface Suspicion {
  /**
   * Starts the suspicion of a member that did not acknowledge this host's
   * probe.
   */
  start(host: string): void;
  /** Ends the suspicion of a member that has answered. */
  stop(host: string): void;
  /**
   * Applies a member's new state, whether this host or another has found it.
   */
  update(member: Member): void;
  /** Suspects that this host should probe in this period. */
  getDueForProbe(): readonly string[];
  /** Removes and returns the suspects whose time-out has passed. */
  takeExpired(): readonly string[];
  /** Extends the time-out of every suspect by this many ms. */
  extendTimeouts(ms: number): void;
}

interface Suspect {
  sinceMs: number;
  probeFromMs: number;
}

/**
 * Maximum number of suspects probed in one period. When a region is cut off,
 * half of all members are suspects, and probing all of them at once would be a
 * burst of traffic.
 */
const MAX_PROBES_PER_PERIOD = 4;

/** Creates the tracker without suspects. */
export function createSuspicion(
  options: { readonly suspectTimeoutMs: number },
  clock: Clock,
): Suspicion {
  const suspects = new Map<string, Suspect>();

  return {
    start(host) {
      const nowMs = clock.monotonicMs();
      const known = suspects.get(host);
      if (known === undefined) {
        suspects.set(host, { sinceMs: nowMs, probeFromMs: nowMs });
      } else {
        known.probeFromMs = Math.min(known.probeFromMs, nowMs);
      }
    },
    stop: (host) => void suspects.delete(host),
    update(member) {
      if (member.state === "leaving") return;
      if (member.state !== "suspect") {
        suspects.delete(member.host);
        return;
      }
      const nowMs = clock.monotonicMs();
      // Another host has reported the suspicion and probes the suspect now;
      // this host probes it in the second half of the time-out.
      const probeFromMs = nowMs + options.suspectTimeoutMs / 2;
      const known = suspects.get(member.host);
      if (known === undefined) {
        suspects.set(member.host, { sinceMs: nowMs, probeFromMs });
      }
    },
    getDueForProbe() {
      const nowMs = clock.monotonicMs();
      const due: string[] = [];
      for (const [host, { probeFromMs }] of suspects) {
        if (probeFromMs <= nowMs) due.push(host);
        if (due.length >= MAX_PROBES_PER_PERIOD) break;
      }
      return due;
    },
    takeExpired() {
      const nowMs = clock.monotonicMs();
      const expired: string[] = [];
      for (const [host, { sinceMs }] of suspects) {
        if (nowMs - sinceMs >= options.suspectTimeoutMs) expired.push(host);
      }
      for (const host of expired) suspects.delete(host);
      return expired;
    },
    extendTimeouts(ms) {
      for (const suspect of suspects.values()) suspect.sinceMs += ms;
    },
  };
}
