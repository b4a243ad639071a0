/**
 * Detects that an upstream process has ended under the requests that it ran.
 *
 * Load: an upstream crashes, its responses break off, and afterwards no request
 * is sent there, since the service is idle or all its upstreams are down.
 *
 * Failure prevented: a crash that is noticed only if another request happens to
 * be refused a connection goes uncounted. The host therefore asks once, as soon
 * as a response breaks off, whether the upstream still accepts connections. A
 * lost response alone is not a crash.
 *
 * @module
 */

import { type Clock, getOrCreate } from "../core/mod.ts";
import { getProcessKey, type UpstreamProcess } from "./types.ts";

/**
 * Result of a connection attempt that sends nothing. One that failed says
 * nothing about the upstream.
 */
export type ConnectResult = "accepted" | "refused" | "no-answer" | "failed";

/** How a host learned that an upstream process has ended. */
export type CrashEvidence = "asked" | "request-refused" | "replaced";

/** Dependencies of the detector, supplied by the process. */
export interface CrashDetectorHost {
  readonly clock: Clock;
  /** Tries to connect to an upstream. */
  tryConnect(address: string): Promise<ConnectResult>;
  /** Called with the contents whose responses broke off. */
  onEnded(
    upstream: UpstreamProcess,
    fingerprints: readonly string[],
    evidence: CrashEvidence,
  ): void;
  /** Called with the result of each connection attempt. */
  onAsked(result: ConnectResult): void;
}

/** Detects crashes at one host. */
export interface CrashDetector {
  /** Records that the connection ended before the response to a content. */
  recordCutOff(upstream: UpstreamProcess, fingerprint: string): void;
  /** Records that the upstream accepts no connection. */
  recordUnreachable(upstream: UpstreamProcess): void;
  /** Records that an upstream process is running at the address. */
  recordRunning(upstream: UpstreamProcess): void;
  /** Asks the upstreams whose turn has come. */
  tick(): void;
}

/**
 * A refused connection within this time after a response broke off shows a
 * crash, in ms; later it may have another cause.
 */
const UNREACHABLE_WINDOW_MS = 2_500;

/**
 * Another process in the place of the upstream within this time shows a crash,
 * in ms: a restart takes seconds, and so does its entry in the platform's table.
 */
const REPLACED_WINDOW_MS = 8_000;

/** An upstream is asked at most once in this time, in ms. */
const ASK_INTERVAL_MS = 500;

/** Limit on the questions of this host in `ASK_INTERVAL_MS`. */
const MAX_ASKS = 5;

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
  lastAskedMs: number;
  /** Whether a response has broken off since the upstream was last asked. */
  isUnasked: boolean;
  hasEnded: boolean;
}

/** Creates a detector that watches no process. */
export function createCrashDetector(host: CrashDetectorHost): CrashDetector {
  const { clock } = host;
  const watched = new Map<string, WatchedProcess>();

  function forgetOld(): void {
    for (const [key, { lastCutOffMs }] of watched) {
      if (clock.monotonicMs() - lastCutOffMs > REPLACED_WINDOW_MS) {
        watched.delete(key);
      }
    }
  }

  function watch(upstream: UpstreamProcess): WatchedProcess {
    return getOrCreate(watched, getProcessKey(upstream), () => ({
      upstream,
      responses: [],
      lastCutOffMs: clock.monotonicMs(),
      lastAskedMs: -Infinity,
      isUnasked: true,
      hasEnded: false,
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
    known.hasEnded = true;
    known.responses = [];
    const fingerprints = new Set(recent.map((each) => each.fingerprint));
    host.onEnded(known.upstream, [...fingerprints], evidence);
  }

  function wasAskedRecently({ lastAskedMs }: WatchedProcess): boolean {
    return clock.monotonicMs() - lastAskedMs < ASK_INTERVAL_MS;
  }

  /** Asks about responses that broke off after the upstream was last asked. */
  function askIfDue(known: WatchedProcess): void {
    const { hasEnded, isUnasked, lastCutOffMs } = known;
    const isOld = clock.monotonicMs() - lastCutOffMs > UNREACHABLE_WINDOW_MS;
    if (hasEnded || !isUnasked || isOld || wasAskedRecently(known)) return;
    const asked = [...watched.values()].filter(wasAskedRecently);
    if (asked.length < MAX_ASKS) void ask(known);
  }

  async function ask(known: WatchedProcess): Promise<void> {
    known.lastAskedMs = clock.monotonicMs();
    known.isUnasked = false;
    const result = await host.tryConnect(known.upstream.address);
    host.onAsked(result);
    if (result === "accepted" || result === "failed") return;
    reportEnded(known, "asked", UNREACHABLE_WINDOW_MS);
  }

  return {
    recordCutOff(upstream, fingerprint) {
      forgetOld();
      const atMs = clock.monotonicMs();
      const known = watch(upstream);
      known.responses.push({ fingerprint, atMs });
      known.lastCutOffMs = atMs;
      known.isUnasked = true;
      if (known.hasEnded) reportEnded(known, "asked", UNREACHABLE_WINDOW_MS);
      else askIfDue(known);
    },
    recordUnreachable(upstream) {
      const known = watched.get(getProcessKey(upstream));
      if (known === undefined) return;
      reportEnded(known, "request-refused", UNREACHABLE_WINDOW_MS);
    },
    recordRunning(upstream) {
      for (const known of watched.values()) {
        if (!isReplacedBy(known.upstream, upstream)) continue;
        reportEnded(known, "replaced", REPLACED_WINDOW_MS);
      }
    },
    tick: () => watched.forEach(askIfDue),
  };
}

/** Whether the second process can run only after the first one has ended. */
function isReplacedBy(known: UpstreamProcess, other: UpstreamProcess): boolean {
  if (known.id === other.id) return other.incarnation > known.incarnation;
  return known.address === other.address;
}
