/**
 * Detects and blocks what crashes the upstreams that run it.
 *
 * Load: one request crashes each upstream that starts to run it, and its caller
 * sends it again, with the same path, key and body, to any host. Or requests
 * come that are alike in one part of their prompts only, and each of them
 * crashes the upstream that begins to answer it.
 *
 * Failure prevented: upstream after upstream goes down, together with all other
 * requests that run there.
 *
 * Each content whose response broke off at an upstream process that ended is
 * suspected of that crash, and each shared part of a prompt whose answer had
 * hardly begun. The fleet adds up the crashes by upstream process, whichever
 * host saw them; `verdict.ts` decides what is blocked. What runs well at any
 * host merely ran beside the cause, and is cleared: a content by a good end, a
 * part by an answer that goes on.
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
import { isPart } from "./subjects.ts";
import {
  type CrashEvent,
  getProcessKey,
  type RequestSubjects,
  type UpstreamProcess,
} from "./types.ts";
import { countMoments, isSuspect, tryFindCulprit } from "./verdict.ts";

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
 * Tracks what crashes upstreams: contents, by their fingerprints, and parts, by
 * their names.
 */
export interface CrashWatch extends CrashDetector {
  /**
   * Records that the content ran to a good end, or that an answer on the part
   * went on. This clears its suspicion.
   */
  recordSuccess(subject: string): void;
  /** Returns what of the request crashes upstreams; `undefined` if nothing. */
  tryGetCulprit(request: RequestSubjects): string | undefined;
  /** Whether upstreams have crashed under the subject, not once only. */
  isSuspected(subject: string): boolean;
  /** Whether a request with this content and these parts is blocked. */
  isBlocked(fingerprint: string, parts?: readonly string[]): boolean;
  /** Handles a fact that another host has published. */
  receiveFact(fact: Fact): void;
  /** Handles a fact that another host reports to this one. */
  receiveReport(fact: Fact): void;
  /** Sends and asks what is due; must be called several times per second. */
  tick(): void;
}

/** Crashes from which on they are unlikely to be chance. */
const SUSPECTED_CRASHES = 2;

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
    subjects: readonly string[],
    evidence: CrashEvidence,
    sinceMs: number,
  ): void {
    for (const subject of subjects) {
      const event: CrashEvent = {
        subject,
        process: getProcessKey(upstream),
        atMs: clock.wallMs() - sinceMs,
        state: "counted",
      };
      if (wasServedNear(event) || !merge(event, evidence)) continue;
      reports.report(event);
    }
  }

  /**
   * Whether a content ran well shortly before. That says nothing of a part, which
   * may have turned bad since: many prompts have it, so that it soon runs again.
   */
  function wasServedNear(event: CrashEvent): boolean {
    return !isPart(event.subject) && successes.refutes(event);
  }

  /** Adds the event; returns false if it was known. */
  function merge(
    event: CrashEvent,
    from: CrashEvidence | "report" | "fact",
  ): boolean {
    const { subject, process, state } = event;
    const wasSuspect = isSuspect(subject, events.getCounted(subject));
    if (!events.merge(event)) return false;
    const counted = events.getCounted(subject);
    const crashes = counted.length;
    if (state === "refuted") {
      logCleared(subject, crashes, from);
    } else {
      const name = isPart(subject) ? "part-suspected" : "content-suspected";
      log({ event: name, subject, crashes, process, from });
    }
    if (!wasSuspect && isSuspect(subject, counted)) {
      logBlocked(subject, counted);
    }
    return true;
  }

  function logBlocked(subject: string, counted: readonly CrashEvent[]): void {
    log({
      event: isPart(subject) ? "part-blocked" : "content-blocked",
      subject,
      crashes: counted.length,
      moments: countMoments(counted),
      processes: counted.map(({ process }) => process),
    });
  }

  function logCleared(subject: string, crashes: number, from: string): void {
    const name = isPart(subject) ? "part-cleared" : "content-cleared";
    log({ event: name, subject, crashes, from });
  }

  /** Refutes the events that a success at this host shows to be chance. */
  function refuteIfServed(subject: string): void {
    refute(subject, wasServedNear);
  }

  function refute(
    subject: string,
    isChance: (event: CrashEvent) => boolean,
  ): void {
    const chance = events.getCounted(subject).filter(isChance);
    if (chance.length === 0) return;
    for (const event of chance) {
      const refuted: CrashEvent = { ...event, state: "refuted" };
      events.merge(refuted);
      reports.report(refuted);
    }
    logCleared(subject, events.count(subject), "answer");
  }

  return {
    ...detector,
    recordSuccess(subject) {
      if (!isPart(subject)) successes.record(subject);
      refute(subject, () => true);
    },
    isSuspected: (subject) => events.count(subject) >= SUSPECTED_CRASHES,
    tryGetCulprit: (request) => tryFindCulprit(request, events),
    isBlocked: (fingerprint, parts = []) =>
      tryFindCulprit({ fingerprint, parts }, events) !== undefined,
    receiveFact(fact) {
      const event = tryParseCrashFact(fact);
      if (event === undefined) return;
      merge(event, "fact");
      reports.receivePublished(event);
      refuteIfServed(event.subject);
    },
    receiveReport(fact) {
      const event = tryParseCrashFact(fact);
      if (event === undefined || !merge(event, "report")) return;
      refuteIfServed(event.subject);
      reports.receiveReport(event);
    },
    tick() {
      detector.tick();
      reports.tick();
    },
  };
}
