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
import { isPart } from "./subjects.ts";
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
  /**
   * Called with the subjects whose responses broke off, and with the time since
   * the first of them did, in ms.
   */
  onEnded(
    upstream: UpstreamProcess,
    subjects: readonly string[],
    evidence: CrashEvidence,
    sinceMs: number,
  ): void;
  /** Called with the result of each connection attempt. */
  onAsked(result: ConnectResult): void;
}

/** Detects crashes at one host. */
export interface CrashDetector {
  /** Records that the connection ended before the response to a subject. */
  recordCutOff(upstream: UpstreamProcess, subject: string): void;
  /**
   * Records that the upstream accepts no connection; `isRefused` if it is known
   * that nothing listens there.
   */
  recordUnreachable(upstream: UpstreamProcess, isRefused?: boolean): void;
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
  readonly subject: string;
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
  /** How sure it is that it has ended; `undefined` without evidence. */
  ended: Certainty | undefined;
}

/**
 * Whether an upstream has ended for sure, or only doesn't answer: one that is
 * silent for a while looks the same, and goes on. That is enough to blame a
 * content, which comes again and again, but not a part that many prompts share.
 */
type Certainty = "shown" | "presumed";

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
      ended: undefined,
    }));
  }

  /** Reports the subjects whose responses broke off within the window. */
  function reportEnded(
    known: WatchedProcess,
    { evidence, certainty, windowMs }: {
      readonly evidence: CrashEvidence;
      readonly certainty: Certainty;
      readonly windowMs: number;
    },
  ): void {
    const nowMs = clock.monotonicMs();
    const isDue = ({ atMs, subject }: CutOffResponse) =>
      atMs > nowMs - windowMs && (certainty === "shown" || !isPart(subject));
    const due = known.responses.filter(isDue);
    if (due.length === 0) return;
    known.ended = known.ended === "shown" ? "shown" : certainty;
    known.responses = known.responses.filter((each) => !isDue(each));
    const subjects = new Set(due.map((each) => each.subject));
    const firstMs = Math.min(...due.map((each) => each.atMs));
    host.onEnded(known.upstream, [...subjects], evidence, nowMs - firstMs);
  }

  function wasAskedRecently({ lastAskedMs }: WatchedProcess): boolean {
    return clock.monotonicMs() - lastAskedMs < ASK_INTERVAL_MS;
  }

  /** Asks about responses that broke off after the upstream was last asked. */
  function askIfDue(known: WatchedProcess): void {
    const { ended, isUnasked, lastCutOffMs } = known;
    const isOld = clock.monotonicMs() - lastCutOffMs > UNREACHABLE_WINDOW_MS;
    const isKnown = ended !== undefined;
    if (isKnown || !isUnasked || isOld || wasAskedRecently(known)) return;
    const asked = [...watched.values()].filter(wasAskedRecently);
    if (asked.length < MAX_ASKS) void ask(known);
  }

  async function ask(known: WatchedProcess): Promise<void> {
    known.lastAskedMs = clock.monotonicMs();
    known.isUnasked = false;
    const result = await host.tryConnect(known.upstream.address);
    host.onAsked(result);
    if (result === "accepted" || result === "failed") return;
    reportEnded(known, {
      evidence: "asked",
      certainty: result === "refused" ? "shown" : "presumed",
      windowMs: UNREACHABLE_WINDOW_MS,
    });
  }

  return {
    recordCutOff(upstream, subject) {
      forgetOld();
      const atMs = clock.monotonicMs();
      const known = watch(upstream);
      known.responses.push({ subject, atMs });
      known.lastCutOffMs = atMs;
      known.isUnasked = true;
      if (known.ended === undefined) return askIfDue(known);
      reportEnded(known, {
        evidence: "asked",
        certainty: known.ended,
        windowMs: UNREACHABLE_WINDOW_MS,
      });
    },
    recordUnreachable(upstream, isRefused = false) {
      const known = watched.get(getProcessKey(upstream));
      if (known === undefined) return;
      reportEnded(known, {
        evidence: "request-refused",
        certainty: isRefused ? "shown" : "presumed",
        windowMs: UNREACHABLE_WINDOW_MS,
      });
    },
    recordRunning(upstream) {
      for (const known of watched.values()) {
        if (!isReplacedBy(known.upstream, upstream)) continue;
        reportEnded(known, {
          evidence: "replaced",
          certainty: "shown",
          windowMs: REPLACED_WINDOW_MS,
        });
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
