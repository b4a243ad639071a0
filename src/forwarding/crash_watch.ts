/**
 * Refuses contents that crash the upstreams that run them.
 *
 * Load: one request crashes each upstream that begins to run it, and its caller
 * sends it again, with the same path, key and body, at any host. Harm prevented:
 * upstream after upstream goes down with all that runs beside it.
 *
 * A crash is seen as an answer that breaks off at an upstream that then can't be
 * reached; a lost answer alone is none. All requests that broke off there are
 * under suspicion; the content that is so three times is refused. Counts are
 * facts that spread to all hosts.
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
  /** The upstream broke off while it ran the content. */
  noteBroken(upstream: string, fingerprint: string): void;
  /** The upstream refuses connections, so that it has crashed. */
  noteUnreachable(upstream: string): void;
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

/**
 * An upstream that can't be reached so soon after an answer broke off, in ms,
 * has crashed; it is back after some seconds.
 */
const CRASH_WINDOW_MS = 2_500;

interface BrokenOff {
  readonly upstream: string;
  readonly fingerprint: string;
  readonly atMs: number;
}

interface Suspect {
  crashes: number;
  atMs: number;
}

/** Makes a watch that suspects nothing. */
export function createCrashWatch(host: CrashWatchHost): CrashWatch {
  const suspects = new Map<string, Suspect>();
  let brokenOff: BrokenOff[] = [];

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

  function addCrash(fingerprint: string): void {
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
  }

  return {
    noteBroken(upstream, fingerprint) {
      const atMs = host.clock.monotonicMs();
      brokenOff = brokenOff.filter((each) =>
        atMs - each.atMs < CRASH_WINDOW_MS
      );
      brokenOff.push({ upstream, fingerprint, atMs });
    },
    noteUnreachable(upstream) {
      const nowMs = host.clock.monotonicMs();
      const isCrash = (each: BrokenOff) =>
        each.upstream === upstream && nowMs - each.atMs < CRASH_WINDOW_MS;
      const crashed = new Set(
        brokenOff.filter(isCrash).map((each) => each.fingerprint),
      );
      brokenOff = brokenOff.filter((each) => each.upstream !== upstream);
      for (const fingerprint of crashed) addCrash(fingerprint);
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
