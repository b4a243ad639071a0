/**
 * How long each suspect still has before it is called dead, and when this host
 * asks it itself.
 *
 * Load: one datagram in twenty is lost, at 390 hosts. Harm prevented: a live
 * host is called dead because the news of the suspicion, or its answer, came
 * late to some; so each host asks a suspect itself before it gives it up.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { Member } from "./types.ts";

/** The suspects of one host. */
export interface Suspicion {
  /** This host has found the member silent by itself. */
  start(host: string): void;
  /** The member answered. */
  stop(host: string): void;
  /** Takes in the state of a member, however it came to be known. */
  update(member: Member): void;
  /** Suspects that this host should ask now. */
  getDueForProbe(): readonly string[];
  /** Suspects whose time is over; they are suspects no more. */
  takeExpired(): readonly string[];
  /** Gives every suspect so much more time, in ms. */
  extendTimeouts(ms: number): void;
}

interface Suspect {
  sinceMs: number;
  probeFromMs: number;
}

/**
 * Most suspects asked in one period: when a region is cut off, half of all
 * members are suspects, and asking each of them would be a burst of its own.
 */
const MAX_PROBES_PER_PERIOD = 4;

/** Makes a set without suspects. */
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
      // Heard from others: they ask now, this host in the second half.
      const askFromMs = nowMs + options.suspectTimeoutMs / 2;
      const known = suspects.get(member.host);
      if (known === undefined) {
        suspects.set(member.host, { sinceMs: nowMs, probeFromMs: askFromMs });
      }
    },
    getDueForProbe() {
      const nowMs = clock.monotonicMs();
      const due: string[] = [];
      for (const [host, { probeFromMs: askFromMs }] of suspects) {
        if (askFromMs <= nowMs) due.push(host);
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
