/**
 * Refuses contents that crash the upstreams that run them.
 *
 * Load: one request crashes each upstream that begins to run it, and its caller
 * sends it again, with the same path, key and body, at any host. Harm prevented:
 * upstream after upstream goes down with all that runs beside it.
 *
 * A crash is seen as a connection that breaks while nothing of the answer has
 * come, at an upstream that then can't be reached. All requests that broke there
 * at that moment are under suspicion; the one that is so three times is refused.
 * Counts are facts that spread to all hosts.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { Fact } from "../membership/mod.ts";

/** What the watch needs of the process. */
export interface CrashWatchHost {
  readonly clock: Clock;
  /** To all hosts within one network delay. */
  pushFact(fact: Fact): void;
  onSuspected(fingerprint: string, crashes: number): void;
}

/** Suspected contents. */
export interface CrashWatch {
  /** An upstream broke off while it ran the content. */
  noteBroken(fingerprint: string): void;
  /** The content was run to its end, so that it crashes nothing. */
  noteAnswered(fingerprint: string): void;
  isRefused(fingerprint: string): boolean;
  receive(fact: Fact): void;
}

/** Key prefix of the facts that carry counts. */
export const CRASH_KEY = "crash/";

/** At the third crash it is no chance any more. */
export const MAX_CRASHES = 3;

/** A count is forgotten after so long without a crash, in ms. */
const KEEP_MS = 60_000;

/** Contents remembered; the oldest goes first. */
const MAX_CONTENTS = 2_000;

interface Suspect {
  crashes: number;
  atMs: number;
}

/** Makes a watch that suspects nothing. */
export function createCrashWatch(host: CrashWatchHost): CrashWatch {
  const suspects = new Map<string, Suspect>();

  function getCrashes(fingerprint: string): number {
    const suspect = suspects.get(fingerprint);
    if (suspect === undefined) return 0;
    const isOld = host.clock.monotonicMs() - suspect.atMs > KEEP_MS;
    return isOld ? 0 : suspect.crashes;
  }

  function set(fingerprint: string, crashes: number): void {
    suspects.delete(fingerprint);
    suspects.set(fingerprint, { crashes, atMs: host.clock.monotonicMs() });
    if (suspects.size > MAX_CONTENTS) {
      suspects.delete(suspects.keys().next().value!);
    }
  }

  return {
    noteBroken(fingerprint) {
      const crashes = getCrashes(fingerprint) + 1;
      set(fingerprint, crashes);
      host.onSuspected(fingerprint, crashes);
      // The first time is mostly an innocent neighbour; it spreads at the next.
      if (crashes === 1) return;
      host.pushFact({
        key: `${CRASH_KEY}${fingerprint}`,
        version: crashes,
        value: "",
      });
    },
    noteAnswered: (fingerprint) => void suspects.delete(fingerprint),
    isRefused: (fingerprint) => getCrashes(fingerprint) >= MAX_CRASHES,
    receive(fact) {
      const fingerprint = fact.key.slice(CRASH_KEY.length);
      if (fact.version > getCrashes(fingerprint)) {
        set(fingerprint, fact.version);
      }
    },
  };
}
