/**
 * Detects that an upstream process has ended under the requests that it ran: a
 * response broke off, and another request is refused a connection there. A lost
 * response alone is not a crash.
 *
 * @module
 */

import { type Clock, getOrCreate } from "../core/mod.ts";
import { getProcessKey, type UpstreamProcess } from "./types.ts";

/** How a host learned that an upstream process has ended. */
export type CrashEvidence = "request-refused";

/** Dependencies of the detector, supplied by the process. */
export interface CrashDetectorHost {
  readonly clock: Clock;
  /** Called with the contents whose responses broke off. */
  onEnded(
    upstream: UpstreamProcess,
    fingerprints: readonly string[],
    evidence: CrashEvidence,
  ): void;
}

/** Detects crashes at one host. */
export interface CrashDetector {
  /** Records that the connection ended before the response to a content. */
  recordCutOff(upstream: UpstreamProcess, fingerprint: string): void;
  /** Records that the upstream accepts no connection. */
  recordUnreachable(upstream: UpstreamProcess): void;
}

/**
 * A refused connection within this time after a response broke off shows a
 * crash, in ms; later it may have another cause.
 */
const UNREACHABLE_WINDOW_MS = 2_500;

interface CutOffResponse {
  readonly fingerprint: string;
  /** Monotonic milliseconds. */
  readonly atMs: number;
}

interface WatchedProcess {
  readonly upstream: UpstreamProcess;
  responses: CutOffResponse[];
  /** Monotonic milliseconds. */
  lastCutOffMs: number;
}

/** Creates a detector that watches no process. */
export function createCrashDetector(host: CrashDetectorHost): CrashDetector {
  const { clock } = host;
  const watched = new Map<string, WatchedProcess>();

  function forgetOld(): void {
    for (const [key, { lastCutOffMs }] of watched) {
      if (clock.monotonicMs() - lastCutOffMs > UNREACHABLE_WINDOW_MS) {
        watched.delete(key);
      }
    }
  }

  function watch(upstream: UpstreamProcess): WatchedProcess {
    return getOrCreate(watched, getProcessKey(upstream), () => ({
      upstream,
      responses: [],
      lastCutOffMs: clock.monotonicMs(),
    }));
  }

  /** Reports the contents whose responses broke off within the window. */
  function reportEnded(
    known: WatchedProcess,
    evidence: CrashEvidence,
    windowMs: number,
  ): void {
    const sinceMs = clock.monotonicMs() - windowMs;
    const recent = known.responses.filter((each) => each.atMs > sinceMs);
    if (recent.length === 0) return;
    known.responses = [];
    const fingerprints = new Set(recent.map((each) => each.fingerprint));
    host.onEnded(known.upstream, [...fingerprints], evidence);
  }

  return {
    recordCutOff(upstream, fingerprint) {
      forgetOld();
      const atMs = clock.monotonicMs();
      const known = watch(upstream);
      known.responses.push({ fingerprint, atMs });
      known.lastCutOffMs = atMs;
    },
    recordUnreachable(upstream) {
      const known = watched.get(getProcessKey(upstream));
      if (known === undefined) return;
      reportEnded(known, "request-refused", UNREACHABLE_WINDOW_MS);
    },
  };
}
