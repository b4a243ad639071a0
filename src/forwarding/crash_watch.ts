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
  broadcastFact(fact: Fact): void;
  onSuspected(fingerprint: string, crashes: number): void;
}

/** Suspected contents. */
export interface CrashWatch {
  /** The upstream broke off while it ran the content. */
  recordBrokenResponse(upstream: string, fingerprint: string): void;
  /** The upstream refuses connections, so that it has crashed. */
  recordUnreachable(upstream: string): void;
  /** The content was run to its end, so that it crashes nothing. */
  recordSuccess(fingerprint: string): void;
  isBlocked(fingerprint: string): boolean;
  receive(fact: Fact): void;
}

/** Key prefix of the facts that carry counts. */
export const CRASH_KEY_PREFIX = "crash/";

/** At the third crash it is no chance any more. */
export const CRASH_LIMIT = 3;

/** A count is forgotten after so long without a crash, in ms. */
const SUSPECT_TTL_MS = 60_000;

/** Contents remembered; the oldest goes first. */
const MAX_SUSPECTS = 2_000;

/**
 * An upstream that can't be reached so soon after an answer broke off, in ms,
 * has crashed; it is back after some seconds.
 */
const CRASH_WINDOW_MS = 2_500;

interface BrokenResponse {
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
  let brokenResponses: BrokenResponse[] = [];

  function getCrashes(fingerprint: string): number {
    const suspect = suspects.get(fingerprint);
    if (suspect === undefined) return 0;
    const isExpired = host.clock.monotonicMs() - suspect.atMs > SUSPECT_TTL_MS;
    return isExpired ? 0 : suspect.crashes;
  }

  function setCrashes(fingerprint: string, crashes: number): void {
    suspects.delete(fingerprint);
    suspects.set(fingerprint, { crashes, atMs: host.clock.monotonicMs() });
    if (suspects.size > MAX_SUSPECTS) {
      suspects.delete(suspects.keys().next().value!);
    }
  }

  function addCrash(fingerprint: string): void {
    const crashes = getCrashes(fingerprint) + 1;
    setCrashes(fingerprint, crashes);
    host.onSuspected(fingerprint, crashes);
    // The first time is mostly an innocent neighbour; it spreads at the next.
    if (crashes === 1) return;
    host.broadcastFact({
      key: `${CRASH_KEY_PREFIX}${fingerprint}`,
      version: crashes,
      value: "",
    });
  }

  return {
    recordBrokenResponse(upstream, fingerprint) {
      const atMs = host.clock.monotonicMs();
      brokenResponses = brokenResponses.filter((each) =>
        atMs - each.atMs < CRASH_WINDOW_MS
      );
      brokenResponses.push({ upstream, fingerprint, atMs });
    },
    recordUnreachable(upstream) {
      const nowMs = host.clock.monotonicMs();
      const isCrash = (each: BrokenResponse) =>
        each.upstream === upstream && nowMs - each.atMs < CRASH_WINDOW_MS;
      const crashed = new Set(
        brokenResponses.filter(isCrash).map((each) => each.fingerprint),
      );
      brokenResponses = brokenResponses.filter((each) =>
        each.upstream !== upstream
      );
      for (const fingerprint of crashed) addCrash(fingerprint);
    },
    recordSuccess: (fingerprint) => void suspects.delete(fingerprint),
    isBlocked: (fingerprint) => getCrashes(fingerprint) >= CRASH_LIMIT,
    receive(fact) {
      const fingerprint = fact.key.slice(CRASH_KEY_PREFIX.length);
      if (fact.version > getCrashes(fingerprint)) {
        setCrashes(fingerprint, fact.version);
      }
    },
  };
}
