/**
 * Detects and blocks poison requests, which crash the upstreams that run them.
 *
 * Load: one request crashes each upstream that starts to run it, and its caller
 * sends it again, with the same path, key and body, to any host.
 *
 * Failure prevented: upstream after upstream goes down, together with all other
 * requests that run there.
 *
 * A crash is detected as a response that breaks off at an upstream that cannot
 * be reached afterwards; a lost response alone is not a crash. Every request
 * whose response broke off there becomes a suspect. A request that has been
 * suspected of three crashes is blocked. The crash counts are gossiped as facts
 * to all hosts.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { Fact } from "../membership/mod.ts";

/** Dependencies of the watch, supplied by the process. */
export interface CrashWatchHost {
  readonly clock: Clock;
  /** Sends the fact to all hosts, which receive it within one network delay. */
  broadcastFact(fact: Fact): void;
  onSuspected(fingerprint: string, crashes: number): void;
}

/**
 * Tracks which requests are suspected of crashing upstreams. Requests are
 * identified by the fingerprint of their content.
 */
export interface CrashWatch {
  /** Records that the connection ended before the response to the request. */
  recordBroken(upstream: string, fingerprint: string): void;
  /**
   * Records that the upstream refuses connections, which means that it crashed
   * if a response broke off there just before.
   */
  recordUnreachable(upstream: string): void;
  /** Records that the request ran to its end. This clears its suspicion. */
  recordSuccess(fingerprint: string): void;
  isBlocked(fingerprint: string): boolean;
  receive(fact: Fact): void;
}

/** Key prefix of the gossiped facts that carry crash counts. */
export const CRASH_KEY_PREFIX = "crash/";

/**
 * A request is blocked at this number of crashes; a third one is no longer a
 * coincidence.
 */
export const CRASH_LIMIT = 3;

/** A suspect is forgotten after this time without a further crash, in ms. */
const SUSPECT_TTL_MS = 60_000;

/** Limit on the number of suspects; the oldest is evicted first. */
const MAX_SUSPECTS = 2_000;

/**
 * An upstream that cannot be reached within this time after a response broke
 * off, in ms, has crashed. A restarted upstream is back after some seconds.
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

/** Creates a watch without suspects. */
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
    // After one crash most suspects are requests that merely ran beside the
    // poison request, so the count is gossiped only from the second crash on.
    if (crashes === 1) return;
    host.broadcastFact({
      key: `${CRASH_KEY_PREFIX}${fingerprint}`,
      version: crashes,
      value: "",
    });
  }

  return {
    recordBroken(upstream, fingerprint) {
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
