/**
 * Detects and blocks poison requests, which crash the upstreams that run them.
 *
 * Load: one request crashes each upstream that starts to run it, and its caller
 * sends it again, with the same path, key and body, to any host.
 *
 * Failure prevented: upstream after upstream goes down, together with all other
 * requests that run there.
 *
 * Each content whose response broke off at an upstream process that ended is
 * suspected of that crash. The fleet adds up the crashes by upstream process,
 * whichever host saw them, and blocks a content at the third. A content that
 * runs to a good end at any host merely ran beside the cause, and is cleared.
 *
 * @module
 */

import type { Clock } from "../core/mod.ts";
import type { Decision } from "../diagnostics/mod.ts";
import type { Fact } from "../membership/mod.ts";
import {
  type ConnectResult,
  type CrashDetector,
  type CrashEvidence,
  createCrashDetector,
} from "./crash_detector.ts";
import { createCrashEvents } from "./crash_events.ts";
import { tryParseCrashFact } from "./crash_facts.ts";
import { type CrashReportsHost, createCrashReports } from "./crash_reports.ts";
import { createRecentSuccesses } from "./recent_successes.ts";
import {
  CRASH_LIMIT,
  type CrashEvent,
  getProcessKey,
  type UpstreamProcess,
} from "./types.ts";

/** Dependencies of the watch, supplied by the process. */
export interface CrashWatchHost extends CrashReportsHost {
  readonly clock: Clock;
  /** Tries to connect to an upstream, without sending anything. */
  tryConnect(address: string): Promise<ConnectResult>;
  /** Called with the result of each connection attempt. */
  onAsked(result: ConnectResult): void;
  log(decision: Decision): void;
}

/**
 * Tracks which contents crash upstreams. Contents are identified by their
 * fingerprints.
 */
export interface CrashWatch extends CrashDetector {
  /** Records that the content ran to a good end. This clears its suspicion. */
  recordSuccess(fingerprint: string): void;
  isBlocked(fingerprint: string): boolean;
  /** Handles a fact that another host has published. */
  receiveFact(fact: Fact): void;
  /** Handles a fact that another host reports to this one. */
  receiveReport(fact: Fact): void;
  /** Sends and asks what is due; must be called several times per second. */
  tick(): void;
}

/** Creates a watch without suspects. */
export function createCrashWatch(host: CrashWatchHost): CrashWatch {
  const { clock, log } = host;
  const events = createCrashEvents(clock);
  const successes = createRecentSuccesses(clock);
  const reports = createCrashReports(host, events);
  const detector = createCrashDetector({
    clock,
    tryConnect: host.tryConnect,
    onEnded: countCrash,
    onAsked: host.onAsked,
  });

  function countCrash(
    upstream: UpstreamProcess,
    fingerprints: readonly string[],
    evidence: CrashEvidence,
  ): void {
    for (const fingerprint of fingerprints) {
      const event: CrashEvent = {
        fingerprint,
        process: getProcessKey(upstream),
        atMs: clock.wallMs(),
        state: "counted",
      };
      if (successes.refutes(event) || !merge(event, evidence)) continue;
      reports.report(event);
    }
  }

  /** Adds the event; returns false if it was known. */
  function merge(
    event: CrashEvent,
    from: CrashEvidence | "report" | "fact",
  ): boolean {
    const { fingerprint, process, state } = event;
    const before = events.count(fingerprint);
    if (!events.merge(event)) return false;
    const crashes = events.count(fingerprint);
    if (state === "refuted") logCleared(fingerprint, crashes, from);
    else {
      log({ event: "content-suspected", fingerprint, crashes, process, from });
    }
    if (before < CRASH_LIMIT && crashes >= CRASH_LIMIT) {
      log({ event: "content-blocked", fingerprint, crashes });
    }
    return true;
  }

  function logCleared(fingerprint: string, crashes: number, from: string) {
    log({ event: "content-cleared", fingerprint, crashes, from });
  }

  /** Refutes the events that a success at this host shows to be chance. */
  function refuteIfServed(fingerprint: string): void {
    for (const event of events.get(fingerprint)) {
      if (event.state === "refuted" || !successes.refutes(event)) continue;
      const refuted: CrashEvent = { ...event, state: "refuted" };
      events.merge(refuted);
      logCleared(fingerprint, events.count(fingerprint), "answer");
      reports.report(refuted);
    }
  }

  return {
    ...detector,
    recordSuccess(fingerprint) {
      successes.record(fingerprint);
      refuteIfServed(fingerprint);
    },
    isBlocked: (fingerprint) => events.count(fingerprint) >= CRASH_LIMIT,
    receiveFact(fact) {
      const event = tryParseCrashFact(fact);
      if (event === undefined) return;
      merge(event, "fact");
      reports.receivePublished(event);
      refuteIfServed(event.fingerprint);
    },
    receiveReport(fact) {
      const event = tryParseCrashFact(fact);
      if (event === undefined || !merge(event, "report")) return;
      refuteIfServed(event.fingerprint);
      reports.receiveReport(event);
    },
    tick() {
      detector.tick();
      reports.tick();
    },
  };
}
